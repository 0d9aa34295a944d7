package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/node"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

const (
	anyPort      = "127.0.0.1:0"
	maxBody      = 1 << 20
	stopLimit    = 5 * time.Second
	keyMargin    = 100 * time.Millisecond
	keyRetention = time.Minute
)

// fleet is a set of nodes in one process.
type fleet struct {
	nodes []*member
	group sync.WaitGroup
	mu    sync.Mutex
	err   error
}

// member is a node of the fleet with its local upstream, if it has one.
type member struct {
	name     string
	node     *node.Node
	upstream *upstream
}

// nodeSpec describes a node to start. upstream states whether the node gets a local
// upstream.
type nodeSpec struct {
	name     types.InstanceID
	zone     types.Zone
	upstream bool
}

var nodeSpecs = []nodeSpec{
	{name: "kolkata-1", zone: "kolkata", upstream: true},
	{name: "howrah-1", zone: "howrah", upstream: true},
	{name: "haldia-1", zone: "haldia"},
}

func startFleet(ctx context.Context) (*fleet, error) {
	fl := &fleet{}
	store := plat.NewMemory().Store()
	for number, spec := range nodeSpecs {
		if err := fl.start(ctx, store, spec, uint64(number)); err != nil {
			return nil, err
		}
	}
	return fl, nil
}

func (fl *fleet) start(ctx context.Context, store *plat.Store, spec nodeSpec, seed uint64) error {
	nd, err := node.New(node.Settings{
		Instance:    spec.name,
		Zone:        spec.zone,
		Region:      "bengal-west",
		Listen:      anyPort,
		PeerListen:  anyPort,
		AdminListen: anyPort,
		MaxBody:     maxBody,
		StopLimit:   stopLimit,
		Seed:        seed,
		KeyLimits:   flow.KeyLimits{Margin: keyMargin, Retention: keyRetention},
		Policies:    core.DefaultPolicies(),
		PlainText:   node.AllPlainText(),
	}, store)
	if err != nil {
		return err
	}
	mb := &member{name: string(spec.name), node: nd}
	fl.nodes = append(fl.nodes, mb)
	fl.group.Go(func() { fl.recordError(nd.Run(ctx)) })
	if !spec.upstream {
		return nil
	}
	mb.upstream, err = startUpstream(ctx, mb.name, nd)
	return err
}

// recordError keeps the first error of a node.
func (fl *fleet) recordError(err error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.err == nil {
		fl.err = err
	}
}

// wait waits until all nodes have stopped and returns the first error.
func (fl *fleet) wait() error {
	fl.group.Wait()
	return fl.err
}

// upstream is a sample upstream of a node. Its answers contain the node's name.
type upstream struct {
	announcement core.Announcement
	node         *node.Node
	mu           sync.Mutex
}

const (
	announceInterval    = time.Second
	sampleSlots         = 10
	sampleConnections   = 130
	sampleHeaderTimeout = 5 * time.Second
)

func startUpstream(ctx context.Context, name string, nd *node.Node) (*upstream, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, errors.WithMessage(err, "listen for the sample upstream")
	}
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = fmt.Fprintf(writer, "%s answered by the upstream of %s\n", request.URL.Path, name)
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: sampleHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Shutdown(context.Background()) })
	up := &upstream{
		announcement: core.Announcement{
			Address: types.Address(listener.Addr().String()), Service: "job-status", Slots: sampleSlots, Connections: sampleConnections,
		},
		node: nd,
	}
	go up.announce(ctx)
	return up, nil
}

// announce announces the upstream to its node until the context is canceled.
func (up *upstream) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		up.announceOnce()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (up *upstream) announceOnce() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.node.Announce(up.announcement)
}

// leave announces to the node that the upstream accepts no new work. The upstream
// still answers the calls that it gets.
func (up *upstream) leave() {
	up.mu.Lock()
	up.announcement.Leaving = true
	up.mu.Unlock()
	up.announceOnce()
}
