package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"sequoiamill.example/sequoiamill/admin"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/peer"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	tickInterval    = 100 * time.Millisecond
	timelineSize    = 4096
	readHeaderLimit = 10 * time.Second
	callerIdleLimit = 2 * time.Minute
	// closeLimit bounds the time in which a node that has stopped waits for the
	// last answers to be written.
	closeLimit = 300 * time.Millisecond
)

// Node is one process of the mesh.
type Node struct {
	settings Settings
	store    *plat.Store
	logger   log.Logger
	now      func() time.Time
	options  []core.Option
	dropped  func() int64
	source   Source
	// proxying holds options of the owner, which the entry shares.
	proxying []proxy.OwnerOption
	extras   []extra

	clock  *trace.Clock
	ring   *trace.Ring
	meters *meters
	loop   *loop
	owner  *proxy.Owner
	entry  *proxy.Entry
	peers  *peer.Client
	// collector fetches the events of other nodes.
	collector *http.Client
	waiters   waiters
	drained   chan struct{}
	// stopping states that every connection is to be closed by its answer.
	stopping atomic.Bool
	// callers serves the callers' listener.
	callers atomic.Pointer[callers]
	// closeCtx bounds the close of all listeners together.
	closeCtx  context.Context
	closeOnce sync.Once
	life      context.Context
	watch     watcher
	// pulls holds a place for each pull being served.
	pulls     chan struct{}
	bodyReads *rate.Limiter
	// recorded states that the directory record was written.
	recorded bool
	// superseded ends when a later process takes this one's place.
	superseded context.Context
	supersede  context.CancelFunc

	callerListener net.Listener
	peerListener   net.Listener
	adminListener  net.Listener
}

// Option changes a setting of a node.
type Option func(*Node)

// WithLogger sets where log lines go.
func WithLogger(logger log.Logger) Option {
	return func(nd *Node) { nd.logger = logger }
}

// WithDropped reports the number of log lines that were not written.
func WithDropped(dropped func() int64) Option {
	return func(nd *Node) { nd.dropped = dropped }
}

// WithCore sets options of the reducer.
func WithCore(opts ...core.Option) Option {
	return func(nd *Node) { nd.options = append(nd.options, opts...) }
}

// WithSource sets where the accepted configurations come from.
func WithSource(source Source) Option {
	return func(nd *Node) { nd.source = source }
}

// WithProxy sets options of the data path.
func WithProxy(opts ...proxy.OwnerOption) Option {
	return func(nd *Node) { nd.proxying = append(nd.proxying, opts...) }
}

// WithHandler serves one more address in plain text.
func WithHandler(address types.Address, handler func(*Node) http.Handler) Option {
	return func(nd *Node) { nd.extras = append(nd.extras, extra{address: address, handler: handler}) }
}

// extra is an address that is served besides those of callers, peers and
// operators.
type extra struct {
	address  types.Address
	handler  func(*Node) http.Handler
	listener net.Listener
}

// New returns a node that listens but does not serve yet.
func New(settings Settings, store *plat.Store, opts ...Option) (*Node, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	nd := &Node{
		settings: settings,
		store:    store,
		logger:   log.NewNopLogger(),
		now:      time.Now,
		clock:    trace.NewClock(),
		ring:     trace.NewRing(timelineSize),
		meters:   newMeters(),
		source:   Roots(),
		dropped:  func() int64 { return 0 },
		drained:  make(chan struct{}),
		pulls:    make(chan struct{}, maxPulls),

		bodyReads: rate.NewLimiter(bodyReads, bodyReads),
	}
	nd.superseded, nd.supersede = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(nd)
	}
	if err := nd.listen(); err != nil {
		return nil, err
	}
	nd.store = nd.meters.store(store)
	nd.gauge()
	nd.assemble()
	return nd, nil
}

func (nd *Node) listen() error {
	var err error
	if nd.callerListener, err = net.Listen("tcp", string(nd.settings.Listen)); err != nil {
		return errors.WithMessage(err, "listen for callers")
	}
	if nd.peerListener, err = net.Listen("tcp", string(nd.settings.PeerListen)); err != nil {
		return errors.WithMessage(err, "listen for peers")
	}
	if nd.adminListener, err = net.Listen("tcp", string(nd.settings.AdminListen)); err != nil {
		return errors.WithMessage(err, "listen for operators")
	}
	for at := range nd.extras {
		if nd.extras[at].listener, err = net.Listen("tcp", string(nd.extras[at].address)); err != nil {
			return errors.WithMessage(err, "listen at "+string(nd.extras[at].address))
		}
	}
	return nil
}

func (nd *Node) assemble() {
	started := nd.now()
	self := fleet.Member{
		ID:          nd.settings.Instance,
		Incarnation: uint64(started.UnixMilli()),
		Address:     nd.PeerAddress(),
		Zone:        nd.settings.Zone,
		Region:      nd.settings.Region,
		Started:     started.Truncate(time.Millisecond),
	}
	options := []core.Option{
		core.WithSeed(nd.settings.Seed),
		core.WithPolicies(nd.settings.Policies),
		core.WithKeys(nd.settings.Keys),
		core.WithLinger(nd.settings.StopLinger),
	}
	options = append(options, nd.options...)
	nd.loop = &loop{state: core.New(self, options...), now: nd.now, run: nd.run}
	nd.collector = &http.Client{Transport: &http.Transport{DialContext: nd.peerDialer()}}
	nd.peers = peer.NewClient(nd.clock, nd.now, peer.WithMeter(nd.meters.control), peer.WithInstance(nd.settings.Instance), peer.WithDialer(nd.peerDialer()))
	proxying := []proxy.OwnerOption{proxy.WithMaxBody(nd.settings.MaxBody), proxy.WithMeters(nd.meters.residence())}
	nd.owner = proxy.NewOwner(nd.loop.post, nd.load, nd.now, append(proxying, nd.proxying...)...)
	forward := proxy.NewForwarder(nd.now, nd.settings.MaxBody, proxy.WithDialer(nd.peerDialer()))
	nd.entry = proxy.NewEntry(nd.settings.Instance, nd.loop.post, nd.owner, forward, nd.now)
}

// CallerAddress returns the address that callers connect to.
func (nd *Node) CallerAddress() types.Address {
	return types.Address(nd.callerListener.Addr().String())
}

// PeerAddress returns the address that other nodes connect to.
func (nd *Node) PeerAddress() types.Address {
	if nd.settings.Advertise != "" {
		return nd.settings.Advertise
	}
	return types.Address(nd.peerListener.Addr().String())
}

// AdminAddress returns the address that operators connect to.
func (nd *Node) AdminAddress() types.Address {
	return types.Address(nd.adminListener.Addr().String())
}

// Ready reports whether the node may serve callers.
func (nd *Node) Ready() bool {
	ready := false
	nd.loop.read(func(state *core.State) { ready = state.Ready() })
	return ready
}

// SetBudget changes how many repeats all nodes together may send to a service.
func (nd *Node) SetBudget(budget flow.Budget) {
	nd.loop.post(core.BudgetChanged{Budget: budget})
	nd.event(trace.Event{Kind: trace.SettingsReloaded, Subject: nd.settings.Instance, Detail: fmt.Sprintf("budget %+v", budget)})
}

// RefuseSettings notes a change of the settings that is not taken.
func (nd *Node) RefuseSettings(err *fault.Error) {
	nd.event(trace.Event{Kind: trace.SettingsRefused, Subject: nd.settings.Instance, Detail: err.Message})
}

func (nd *Node) load() route.Load {
	var load route.Load
	nd.loop.read(func(state *core.State) { load = state.Load(nd.now()) })
	return load
}

// Run serves until the context ends, then stops gracefully.
func (nd *Node) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	nd.life = life
	nd.event(trace.Event{Kind: trace.NodeStarted, Subject: nd.settings.Instance})
	var group run.Group
	callers := newCallers(proxy.GuardListener(nd.secure(nd.callerListener, Callers)), nd.closing(nd.entry))
	nd.callers.Store(callers)
	group.Add(callers.serve, func(error) { callers.close(nd.closeBy()) })
	nd.addServer(&group, nd.secure(nd.peerListener, Peers), nd.closing(nd.peerHandler()))
	nd.addServer(&group, nd.secure(nd.adminListener, Operators), nd.adminHandler())
	for _, extra := range nd.extras {
		nd.addServer(&group, extra.listener, extra.handler(nd))
	}
	addTask(life, &group, nd.tick)
	addTask(life, &group, nd.join)
	addTask(life, &group, nd.poll)
	addTask(life, &group, nd.reload)
	addTask(life, &group, func(life context.Context) error { return nd.awaitStop(ctx, life) })
	err := group.Run()
	detail := "gracefully"
	if err != nil {
		detail = err.Error()
	}
	nd.event(trace.Event{Kind: trace.NodeStopped, Subject: nd.settings.Instance, Detail: detail})
	return err
}

func addTask(life context.Context, group *run.Group, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(life)
	group.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

func (nd *Node) addServer(group *run.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderLimit, IdleTimeout: callerIdleLimit}
	group.Add(
		func() error { return server.Serve(listener) },
		func(error) {
			if server.Shutdown(nd.closeBy()) != nil {
				_ = server.Close()
			}
		})
}

// closeBy returns a context that ends the close limit after its first use.
func (nd *Node) closeBy() context.Context {
	nd.closeOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
		nd.closeCtx = ctx
		context.AfterFunc(ctx, cancel)
	})
	return nd.closeCtx
}

func (nd *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var sleep suspension
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			nd.loop.post(core.Tick{Suspended: sleep.since(nd.now(), bootTime())})
		}
	}
}

// closing asks the other end of a connection to close it while the node stops,
// so that no request is sent on a connection that is about to close.
func (nd *Node) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if nd.stopping.Load() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// awaitStop ends when the node was told to stop and has drained.
func (nd *Node) awaitStop(asked, life context.Context) error {
	select {
	case <-asked.Done():
	case <-nd.superseded.Done():
	case <-life.Done():
		return nil
	}
	nd.stopping.Store(true)
	nd.loop.post(core.StopAsked{})
	ctx, cancel := context.WithTimeout(life, nd.settings.StopLimit)
	defer cancel()
	select {
	case <-nd.drained:
		nd.leave(ctx)
	case <-ctx.Done():
		_ = nd.logger.Log("event", "stop-limit-reached")
	}
	return nil
}

func (nd *Node) view() admin.View {
	var view admin.View
	nd.loop.read(func(state *core.State) {
		view = admin.View{
			Self:    nd.settings.Instance,
			Version: state.Conf().Current().Version(),
			Since:   state.Conf().Since(),
			Floor:   state.Conf().Floor(),
			Refused: state.Conf().Refused(),
			Members: state.Fleet().Members(),
		}
	})
	return view
}

func (nd *Node) bundle() conf.Bundle {
	var bundle conf.Bundle
	nd.loop.read(func(state *core.State) { bundle = state.Conf().Current().Bundle() })
	return bundle
}
