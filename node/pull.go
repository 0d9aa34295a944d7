package node

import (
	"context"
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// pullTimeout is the deadline of fetching a configuration from a peer.
	pullTimeout = 5 * time.Second
	// maxPulls is the maximum number of peers that fetch the configuration from
	// this node at the same time.
	maxPulls = 4
)

// pulls are the pulls in flight. Several peers may be asked for one version; the pulls
// that are left when it is in force are canceled.
type pulls struct {
	mu      sync.Mutex
	next    uint64
	pending map[uint64]pendingPull
}

type pendingPull struct {
	version types.Version
	cancel  context.CancelFunc
}

// begin adds a pull of a version. It returns the context of the pull and a function that
// ends it.
func (pu *pulls) begin(parent context.Context, version types.Version) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(parent, pullTimeout)
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if pu.pending == nil {
		pu.pending = map[uint64]pendingPull{}
	}
	pu.next++
	id := pu.next
	pu.pending[id] = pendingPull{version: version, cancel: cancel}
	return ctx, func() {
		cancel()
		pu.mu.Lock()
		defer pu.mu.Unlock()
		delete(pu.pending, id)
	}
}

// cancelUpTo cancels the pulls of a version and of earlier ones.
func (pu *pulls) cancelUpTo(version types.Version) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for _, pending := range pu.pending {
		if pending.version <= version {
			pending.cancel()
		}
	}
}

// pullConfig fetches a configuration from a peer, unless the version in force is
// at or above the version that the peer reported.
func (nd *Node) pullConfig(effect fleet.PullConfig) {
	ended := fleet.PullEnded{Peer: effect.Peer, Version: effect.Version}
	began := nd.now()
	if nd.version() < effect.Version {
		ended.Err = fault.From(nd.pullFrom(effect))
	}
	ended.After = nd.now().Sub(began)
	nd.loop.post(ended)
}

func (nd *Node) pullFrom(effect fleet.PullConfig) error {
	ctx, end := nd.pulls.begin(nd.runCtx, effect.Version)
	defer end()
	nd.metrics.count(trace.ConfigPulls)
	bundle, err := nd.peers.Pull(ctx, effect.Address, nd.bundle())
	if err != nil {
		nd.metrics.count(trace.ConfigPullsFailed)
		return err
	}
	if nd.version() >= effect.Version {
		return nil
	}
	nd.offerFromPeer(bundle, effect.Version, effect.Peer)
	return nil
}

// version returns the version of the configuration in force.
func (nd *Node) version() types.Version {
	var version types.Version
	nd.loop.read(func(state *core.State) { version = state.Config().Current().Version() })
	return version
}

// servePull returns the configuration in force to a peer, or an error if
// maxPulls peers are already being served.
func (nd *Node) servePull() (conf.Bundle, error) {
	select {
	case nd.pullSlots <- struct{}{}:
		defer func() { <-nd.pullSlots }()
	default:
		nd.metrics.count(trace.PullsRefused)
		return conf.Bundle{}, fault.New(fault.Overloaded, "%d pulls are being served", maxPulls).WithRetryAfter(pullTimeout)
	}
	nd.metrics.count(trace.PullsServed)
	return nd.bundle(), nil
}
