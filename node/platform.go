package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// minBackoff and maxBackoff bound the wait after a failed call to the
	// platform, before jitter.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// platformTimeout is the deadline of reading the directory of nodes, of
	// writing this node's record there, and of the read of the configuration's
	// root object that follows a publication through this node.
	platformTimeout = 5 * time.Second
	// fetchTimeout is the deadline of reading, in total, all objects to which
	// the configuration's root object refers.
	fetchTimeout = time.Minute
	// bodyReadsPerSecond is the maximum number of objects per second that a node
	// reads of those to which the configuration's root object refers.
	bodyReadsPerSecond = 100
	// DefaultFetchDelay is the default of Settings.FetchDelay: the average time
	// that a node waits for a peer to send it a configuration before it reads
	// that configuration from the platform.
	DefaultFetchDelay = 15 * time.Second
	// peerJoinLimit is how long a starting node waits for its peers before it reads
	// the configuration's root object. firstJoinLimit replaces it if the whole fleet
	// starts for the first time.
	peerJoinLimit    = 300 * time.Millisecond
	firstJoinLimit   = 3 * time.Second
	peerPollInterval = 20 * time.Millisecond
	// leaveTimeout is the deadline of deleting the directory record of a
	// stopping node.
	leaveTimeout = time.Second
	// leaveDelay is how long a stopping node keeps serving after it has tried
	// to delete its record.
	leaveDelay = 300 * time.Millisecond
	// hedgeTimeout is the deadline of a read that a peer makes for this node.
	hedgeTimeout = 500 * time.Millisecond
)

// watcher starts and ends the watch of the configuration's root object in the
// platform's store. At most one watch runs at a time.
type watcher struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// running reports whether the node watches the configuration's root object.
func (wr *watcher) running() bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.cancel != nil
}

// setWatching ends the current watch, if any, and starts a new one if wanted says so.
func (wr *watcher) setWatching(nd *Node, wanted core.WatchPlatform) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.cancel != nil {
		wr.cancel()
		wr.cancel = nil
	}
	if !wanted.On {
		return
	}
	watch := nd.store.Watch
	if wanted.Cached {
		watch = nd.store.WatchCached
	}
	ctx, cancel := context.WithCancel(nd.runCtx)
	wr.cancel = cancel
	go nd.watchRoot(ctx, watch)
}

// watchRoot watches the configuration's root object until ctx ends. It records
// an event when the platform stops answering and when the platform answers again.
func (nd *Node) watchRoot(ctx context.Context, watch func(context.Context, plat.Name, func(plat.Object)) error) {
	pause := newBackoff()
	lost := false
	for ctx.Err() == nil {
		attempt, cancel := context.WithCancel(ctx)
		err := watch(attempt, nd.source.Name, func(object plat.Object) {
			if lost {
				lost = false
				nd.recordEvent(trace.Event{Kind: trace.PlatformRecovered, Subject: nd.settings.Instance})
			}
			if nd.offerRoot(ctx, object, conf.ReadByWatch) {
				pause.reset()
				sleep(ctx, nd.watchPause())
				return
			}
			// The platform was unavailable while the node fetched the
			// configuration. Opening a new watch reads the root object again.
			cancel()
		})
		cancel()
		if ctx.Err() == nil && !lost {
			lost = true
			nd.watchFailed(err)
		}
		pause.sleep(ctx)
	}
}

// watchFailed records that the watch of the root object failed. The reads of a delegate
// that polls tell better whether the platform answers this node, as watches may be cut
// off on all nodes at once.
func (nd *Node) watchFailed(err error) {
	nd.recordEvent(trace.Event{Kind: trace.PlatformFailed, Detail: fault.From(err).Error()})
	if nd.settings.PollInterval == 0 {
		nd.loop.post(core.WatchFailed{})
	}
}

// watchPause returns how long the node waits after an event of its watch before it
// watches on. In the meantime, it learns of changes from its peers.
func (nd *Node) watchPause() time.Duration {
	var pause time.Duration
	nd.loop.read(func(state *core.State) { pause = state.Fleet().WatchPause() })
	return pause
}

// pollRoot reads the configuration's root object once, reports whether the platform
// answered, and offers the configuration to the state machine as read in the given way.
func (nd *Node) pollRoot(reading conf.Reading) {
	object, err := nd.getRoot(nd.runCtx)
	nd.loop.post(core.RootPolled{Err: fault.From(err)})
	if err == nil {
		nd.offerRoot(nd.runCtx, object, reading)
	}
}

// hedgeRoot asks a peer to read the configuration's root object, and reports whether the
// platform answered it.
func (nd *Node) hedgeRoot(effect core.HedgeRoot) {
	ctx, cancel := context.WithTimeout(nd.runCtx, hedgeTimeout)
	defer cancel()
	nd.metrics.count(trace.ReadsHedged)
	err := nd.peers.ReadRoot(ctx, effect.Address)
	nd.loop.post(core.RootHedged{Peer: effect.Peer, Err: fault.From(err)})
}

// serveReadRoot reads the configuration's root object for a peer and offers the
// configuration to the state machine. The peer learns of the version as others do.
func (nd *Node) serveReadRoot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hedgeTimeout)
	defer cancel()
	nd.metrics.count(trace.ReadsServed)
	object, err := nd.getRoot(ctx)
	if err != nil {
		return err
	}
	go nd.offerRoot(nd.runCtx, object, conf.ReadInPlace)
	return nil
}

// offerRoot fetches the configuration that a root object describes and offers
// it to the state machine. It returns false if the platform was unavailable; the
// root object must then be read again.
func (nd *Node) offerRoot(ctx context.Context, object plat.Object, reading conf.Reading) bool {
	if object.Revision == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	offer := conf.VersionOffered{Digest: codec.HashOf(object.Body), FromPlatform: true, Reading: reading}
	version, err := nd.source.Version(object.Body)
	offer.Version = version
	if err == nil && version > nd.version() {
		offer.Snapshot, err = nd.fetchSnapshot(ctx, object)
	}
	offer.Err = fault.From(err)
	nd.loop.post(offer)
	return !fault.Is(err, fault.PlatformUnavailable)
}

// fetchSnapshot fetches and decodes the configuration that a root object
// describes. It makes at most bodyReadsPerSecond calls per second.
func (nd *Node) fetchSnapshot(ctx context.Context, object plat.Object) (conf.Snapshot, error) {
	limited := *nd.store
	limited.Get = func(ctx context.Context, name plat.Name) (plat.Object, error) {
		if err := nd.bodyReadLimiter.Wait(ctx); err != nil {
			return plat.Object{}, fault.Wrap(fault.PlatformUnavailable, err, "wait to read a body")
		}
		return nd.store.Get(ctx, name)
	}
	bundle, err := nd.source.Fetch(ctx, &limited, object.Body, nd.bundle())
	if err != nil {
		return conf.Snapshot{}, err
	}
	return nd.source.Decode(bundle, nd.snapshot())
}

// offerFromPeer decodes a configuration that a peer sent and offers it to the
// state machine.
func (nd *Node) offerFromPeer(bundle conf.Bundle, version types.Version, peer types.InstanceID) {
	snap, err := nd.source.Decode(bundle, nd.snapshot())
	nd.loop.post(conf.VersionOffered{Snapshot: snap, Version: version, Peer: peer, Err: fault.From(err)})
}

// startRootRead starts reading the configuration's root object in the
// background. epoch is the join epoch: 1 at the start of the process, and one
// more after each rejoin. The state machine does not count the read towards a
// join of another epoch.
func (nd *Node) startRootRead(epoch uint64) { go nd.joinFromRoot(nd.runCtx, epoch) }

// joinFromRoot reads the configuration's root object and reports its version to
// the state machine. It then waits for Settings.FetchDelay on average, and fetches
// the configuration from the platform if no peer has sent that version by then.
func (nd *Node) joinFromRoot(ctx context.Context, epoch uint64) {
	if nd.joinFromPeers(ctx) {
		return
	}
	object, err := nd.waitForRoot(ctx)
	if err != nil {
		return
	}
	version, _ := nd.source.Version(object.Body)
	nd.loop.post(core.RootRead{Epoch: epoch, Version: version})
	if nd.version() >= version && version != 0 || object.Revision == "" {
		return
	}
	if nd.settings.FetchDelay > 0 {
		sleep(ctx, jitter(nd.settings.FetchDelay))
	}
	if nd.version() < version || version == 0 {
		nd.offerRoot(ctx, object, conf.ReadAtJoin)
	}
}

// joinFromPeers waits until the node has joined through its peers, and reports
// whether it has. It gives up after peerJoinLimit, or when the peers turn out to have
// just started as well: the platform alone then knows the latest version.
func (nd *Node) joinFromPeers(ctx context.Context) bool {
	limit := peerJoinLimit
	if nd.settings.FirstStart {
		limit = firstJoinLimit
	}
	for waited := time.Duration(0); waited < limit && ctx.Err() == nil; waited += peerPollInterval {
		joined, starting := false, false
		nd.loop.read(func(state *core.State) {
			joined = state.Fleet().JoinedThroughPeers() || nd.settings.FirstStart && state.Fleet().Joined()
			starting = state.Fleet().AnsweredByStarting() && !nd.settings.FirstStart
		})
		if joined || starting {
			return joined
		}
		sleep(ctx, peerPollInterval)
	}
	return false
}

// waitForRoot reads the configuration's root object, with retries until the
// platform answers. It returns an empty object if there is no root object.
func (nd *Node) waitForRoot(ctx context.Context) (plat.Object, error) {
	pause := newBackoff()
	for {
		object, err := nd.getRoot(ctx)
		if err == nil {
			return object, nil
		}
		if ctx.Err() != nil {
			return plat.Object{}, ctx.Err()
		}
		pause.sleep(ctx)
	}
}

// getRoot reads the configuration's root object. It returns an empty object if there is
// none.
func (nd *Node) getRoot(ctx context.Context) (plat.Object, error) {
	object, err := nd.store.Get(ctx, nd.source.Name)
	if fault.Is(err, fault.NotFound) {
		return plat.Object{}, nil
	}
	return object, err
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter returns a random duration between half and one and a half times wait.
func jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(rand.Int64N(int64(wait)))
}

// backoff is a wait that starts at minBackoff and doubles after each use, up to
// maxBackoff. Each wait is jittered.
type backoff struct{ wait time.Duration }

func newBackoff() *backoff { return &backoff{wait: minBackoff} }

func (bo *backoff) reset() { bo.wait = minBackoff }

func (bo *backoff) sleep(ctx context.Context) {
	sleep(ctx, jitter(bo.wait))
	bo.wait = min(2*bo.wait, maxBackoff)
}
