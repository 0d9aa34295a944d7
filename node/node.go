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
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"sequoiamill.example/sequoiamill/admin"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/heads"
	"sequoiamill.example/sequoiamill/memory"
	"sequoiamill.example/sequoiamill/peer"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/quota"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// tickInterval is the time between the ticks that drive the state machine's
	// periodic work.
	tickInterval = 100 * time.Millisecond
	// timelineSize is the number of events that the node keeps in its timeline.
	timelineSize      = 4096
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// closeTimeout is how long a stopped node waits for its last responses to
	// be written before it closes the connections.
	closeTimeout = 300 * time.Millisecond
)

// Node is one node of the service mesh.
type Node struct {
	settings    Settings
	store       *plat.Store
	logger      log.Logger
	now         func() time.Time
	coreOptions []core.Option
	dropped     func() int64
	source      Source
	// ownerOptions are the options of owner, which sends work to the local
	// upstream. They also affect entry, which accepts calls, because entry uses
	// the dialect, body limit, pacer and metrics of owner.
	ownerOptions []proxy.OwnerOption
	extraServers []extraServer

	clock   *trace.Clock
	ring    *trace.Ring
	metrics *nodeMetrics
	loop    *loop
	owner   *proxy.Owner
	entry   *proxy.Entry
	peers   *peer.Client
	// collector is the HTTP client that fetches the timelines of other nodes.
	collector *http.Client
	waiters   waiters[fleet.Message]
	// tradeWaiters are the trades of peers that are being answered.
	tradeWaiters waiters[quota.Answer]
	drained      chan struct{}
	// stopping is true once the node is asked to stop. Each response to a
	// caller or peer then asks the client to close its connection.
	stopping atomic.Bool
	// callerServer serves the listener for callers. It is nil until Run sets
	// it.
	callerServer atomic.Pointer[callerServer]
	// routes is the table of the configuration in force. It is nil before there is one.
	routes atomic.Pointer[route.Table]
	// closeCtx is the context for closing all listeners, so that they share one
	// deadline. It is nil until closeContext is first called.
	closeCtx  context.Context
	closeOnce sync.Once
	runCtx    context.Context
	watch     watcher
	// unreadable are the entries of the directory that were recorded as unreadable. Only
	// the goroutine that maintains the node's record uses it.
	unreadable types.Set[string]
	answering  answering
	bodies     *memory.Budget
	bodySeries bodySeries
	pulls      pulls
	// pullSlots is a semaphore that holds one element for each configuration
	// pull being served.
	pullSlots       chan struct{}
	bodyReadLimiter *rate.Limiter
	recordKeeper    recordKeeper
	departures      departureWrites
	rollouts        rolloutReader
	// superseded is a context that is canceled when the node learns of another
	// process of the same instance that started later than this one.
	superseded context.Context
	supersede  context.CancelFunc

	callerListener net.Listener
	peerListener   net.Listener
	adminListener  net.Listener
}

// Option changes a setting of a node.
type Option func(*Node)

// WithLogger sets the logger of the node. By default the node logs nothing.
func WithLogger(logger log.Logger) Option {
	return func(nd *Node) { nd.logger = logger }
}

// WithDroppedLogLines sets the function that returns the number of log lines
// dropped so far, which the node reports as a metric.
func WithDroppedLogLines(dropped func() int64) Option {
	return func(nd *Node) { nd.dropped = dropped }
}

// WithCoreOptions adds options of the node's state machine.
func WithCoreOptions(opts ...core.Option) Option {
	return func(nd *Node) { nd.coreOptions = append(nd.coreOptions, opts...) }
}

// WithSource sets where the node reads accepted configurations. The default is
// RootSource.
func WithSource(source Source) Option {
	return func(nd *Node) { nd.source = source }
}

// WithProxyOptions adds options of the data path.
func WithProxyOptions(opts ...proxy.OwnerOption) Option {
	return func(nd *Node) { nd.ownerOptions = append(nd.ownerOptions, opts...) }
}

// WithListener adds a listener at an address that serves the handler as HTTP
// without TLS.
func WithListener(address types.Address, handler func(*Node) http.Handler) Option {
	return func(nd *Node) {
		nd.extraServers = append(nd.extraServers, extraServer{address: address, handler: handler})
	}
}

// extraServer describes a listener besides those for callers, peers and
// operators.
type extraServer struct {
	address  types.Address
	handler  func(*Node) http.Handler
	listener net.Listener
}

// New opens the node's listeners and returns the node. The node serves no request
// before Run is called.
func New(settings Settings, store *plat.Store, opts ...Option) (*Node, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	nd := &Node{
		settings:  settings,
		store:     store,
		logger:    log.NewNopLogger(),
		now:       time.Now,
		clock:     trace.NewClock(),
		ring:      trace.NewRing(timelineSize),
		metrics:   newNodeMetrics(),
		source:    RootSource(),
		dropped:   func() int64 { return 0 },
		drained:   make(chan struct{}),
		pullSlots: make(chan struct{}, maxPulls),
		runCtx:    context.Background(),

		bodyReadLimiter: rate.NewLimiter(bodyReadsPerSecond, bodyReadsPerSecond),
	}
	nd.superseded, nd.supersede = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(nd)
	}
	if err := nd.listen(); err != nil {
		return nil, err
	}
	nd.store = nd.metrics.countStoreCalls(store)
	nd.registerGauges()
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
	for i := range nd.extraServers {
		if nd.extraServers[i].listener, err = net.Listen("tcp", string(nd.extraServers[i].address)); err != nil {
			return errors.WithMessage(err, "listen at "+string(nd.extraServers[i].address))
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
		StartedAt:   started.Truncate(time.Millisecond),
	}
	coreOptions := []core.Option{
		core.WithSeed(nd.settings.Seed),
		core.WithPolicies(nd.settings.Policies),
		core.WithKeys(nd.settings.KeyLimits),
		core.WithLinger(nd.settings.StopLinger),
		core.WithStopLimit(nd.settings.StopLimit),
		core.WithRecordRead(recordReadLimit),
		core.WithPolling(nd.settings.PollInterval),
	}
	coreOptions = append(coreOptions, nd.coreOptions...)
	var detector suspendDetector
	nd.loop = &loop{
		state: core.New(self, coreOptions...), now: nd.now, run: nd.runEffect,
		suspended: func() time.Duration { return detector.sinceLast(nd.now(), bootTime()) },
	}
	nd.collector = &http.Client{Transport: heads.NewTransport(&http.Transport{DialContext: nd.peerDialer()}, heads.WithKnownEnd())}
	nd.peers = peer.NewClient(nd.clock, nd.now, peer.WithMeter(nd.metrics.countControlBytes), peer.WithInstance(nd.settings.Instance), peer.WithDialer(nd.peerDialer()))
	nd.bodies = nd.newBodyBudget()
	ownerOptions := []proxy.OwnerOption{proxy.WithMaxBody(nd.settings.MaxBody), proxy.WithBudget(nd.bodies), proxy.WithMetrics(nd.metrics.proxyMetrics())}
	nd.owner = proxy.NewOwner(nd.loop.post, nd.load, nd.now, append(ownerOptions, nd.ownerOptions...)...)
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

// Ready reports whether the node is ready to serve callers.
func (nd *Node) Ready() bool {
	ready := false
	nd.loop.read(func(state *core.State) { ready = state.Ready() })
	return ready
}

// SetRetryBudget changes how many retries and hedged requests all nodes
// together may send to a service.
func (nd *Node) SetRetryBudget(budget flow.RetryBudget) {
	nd.loop.post(core.RetryBudgetChanged{RetryBudget: budget})
	nd.recordEvent(trace.Event{Kind: trace.SettingsReloaded, Subject: nd.settings.Instance, Detail: fmt.Sprintf("budget %+v", budget)})
}

// RecordRefusedSettings records an event for a change of the settings that was
// refused.
func (nd *Node) RecordRefusedSettings(err *fault.Error) {
	nd.recordEvent(trace.Event{Kind: trace.SettingsRefused, Subject: nd.settings.Instance, Detail: err.Message})
}

func (nd *Node) load() route.Load {
	var load route.Load
	nd.loop.read(func(state *core.State) { load = state.Load(nd.now()) })
	return load
}

func (nd *Node) view() admin.View {
	var view admin.View
	nd.loop.read(func(state *core.State) {
		view = admin.View{
			Self:      nd.settings.Instance,
			Version:   state.Config().Current().Version(),
			AdoptedAt: state.Config().AdoptedAt(),
			Floor:     state.Config().Floor(),
			Refused:   state.Config().Refused(),
			Members:   state.Fleet().Members(),
			Limits:    state.Limits(nd.now()),
		}
	})
	return view
}

func (nd *Node) snapshot() conf.Snapshot {
	var snapshot conf.Snapshot
	nd.loop.read(func(state *core.State) { snapshot = state.Config().Current() })
	return snapshot
}

func (nd *Node) bundle() conf.Bundle { return nd.snapshot().Bundle() }
