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
	platformPause    = 250 * time.Millisecond
	maxPlatformPause = 2 * time.Second
	platformTimeout  = 5 * time.Second
	// fetchTimeout bounds the reads of all bodies that a root names.
	fetchTimeout = time.Minute
	// bodyReads bounds the reads of bodies, in calls a second.
	bodyReads = 100
	// DefaultFetchDelay is how long a node that does not watch the platform
	// waits for a peer to pass on a version before it reads the bodies itself.
	DefaultFetchDelay = 15 * time.Second
	leaveTimeout      = time.Second
	leavePause        = 300 * time.Millisecond
)

// watcher runs at most one watch of the platform's root.
type watcher struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// running reports whether the node watches the platform.
func (wr *watcher) running() bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.cancel != nil
}

func (wr *watcher) set(nd *Node, on bool) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.cancel != nil {
		wr.cancel()
		wr.cancel = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(nd.life)
	wr.cancel = cancel
	go nd.watchRoot(ctx)
}

func (nd *Node) watchRoot(ctx context.Context) {
	pause := newBackoff()
	lost := false
	for ctx.Err() == nil {
		watch, cancel := context.WithCancel(ctx)
		err := nd.store.Watch(watch, nd.source.Name, func(object plat.Object) {
			if lost {
				lost = false
				nd.event(trace.Event{Kind: trace.PlatformRegained, Subject: nd.settings.Instance})
			}
			if nd.rootSeen(ctx, object) {
				pause.reset()
				return
			}
			cancel()
		})
		cancel()
		if ctx.Err() == nil && !lost {
			lost = true
			nd.event(trace.Event{Kind: trace.PlatformFailed, Detail: fault.From(err).Error()})
		}
		pause.sleep(ctx)
	}
}

// poll reads the platform's current version from time to time on delegates.
func (nd *Node) poll(ctx context.Context) error {
	if nd.settings.Poll <= 0 {
		<-ctx.Done()
		return nil
	}
	for ctx.Err() == nil {
		sleep(ctx, jitter(nd.settings.Poll))
		delegate := false
		nd.loop.read(func(state *core.State) { delegate = state.Fleet().IsDelegate() })
		if delegate {
			nd.readRoot(ctx)
		}
	}
	return nil
}

// rootSeen fetches what a root names and offers it to the reducer. It reports
// false if the platform did not give all of it, so that it is to be read again.
func (nd *Node) rootSeen(ctx context.Context, object plat.Object) bool {
	if object.Revision == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	offer := conf.Offered{Digest: codec.HashOf(object.Body), Platform: true}
	version, err := nd.source.Version(object.Body)
	offer.Version = version
	if err == nil && version > nd.version() {
		offer.Snapshot, err = nd.fetch(ctx, object)
	}
	offer.Err = fault.From(err)
	nd.loop.post(offer)
	return !fault.Is(err, fault.PlatformUnavailable)
}

func (nd *Node) fetch(ctx context.Context, object plat.Object) (conf.Snapshot, error) {
	limited := *nd.store
	limited.Get = func(ctx context.Context, name plat.Name) (plat.Object, error) {
		if err := nd.bodyReads.Wait(ctx); err != nil {
			return plat.Object{}, fault.Wrap(fault.PlatformUnavailable, err, "wait to read a body")
		}
		return nd.store.Get(ctx, name)
	}
	bundle, err := nd.source.Fetch(ctx, &limited, object.Body, nd.bundle())
	if err != nil {
		return conf.Snapshot{}, err
	}
	return nd.source.Open(bundle)
}

// offer passes a peer's configuration to the reducer.
func (nd *Node) offer(bundle conf.Bundle, version types.Version) {
	snap, err := nd.source.Open(bundle)
	nd.loop.post(conf.Offered{Snapshot: snap, Version: version, Err: fault.From(err)})
}

// rootAsked starts reading the platform's root for a join.
func (nd *Node) rootAsked(epoch uint64) { go nd.joinByRoot(nd.life, epoch) }

// joinByRoot reads the platform's root until it is known. The bodies come from
// peers, or from the platform if no peer passes them on.
func (nd *Node) joinByRoot(ctx context.Context, epoch uint64) {
	object, err := nd.untilRoot(ctx)
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
		nd.rootSeen(ctx, object)
	}
}

// untilRoot returns the root, which is empty if there is none.
func (nd *Node) untilRoot(ctx context.Context) (plat.Object, error) {
	pause := newBackoff()
	for {
		object, err := nd.store.Get(ctx, nd.source.Name)
		if err == nil || fault.Is(err, fault.NotFound) {
			return object, nil
		}
		if ctx.Err() != nil {
			return plat.Object{}, ctx.Err()
		}
		pause.sleep(ctx)
	}
}

// readRoot reads the platform's root once.
func (nd *Node) readRoot(ctx context.Context) {
	object, err := nd.store.Get(ctx, nd.source.Name)
	if err == nil {
		nd.rootSeen(ctx, object)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(rand.Int64N(int64(wait)))
}

// backoff is a pause that doubles after each failure.
type backoff struct{ wait time.Duration }

func newBackoff() *backoff { return &backoff{wait: platformPause} }

func (bo *backoff) reset() { bo.wait = platformPause }

func (bo *backoff) sleep(ctx context.Context) {
	sleep(ctx, jitter(bo.wait))
	bo.wait = min(2*bo.wait, maxPlatformPause)
}
