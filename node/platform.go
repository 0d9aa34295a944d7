package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/admin"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	platformPause   = 500 * time.Millisecond
	platformTimeout = 5 * time.Second
	joinInterval    = 30 * time.Second
	aloneInterval   = time.Second
	leaveTimeout    = time.Second
	leavePause      = 300 * time.Millisecond
)

// watcher runs at most one watch of the platform's root.
type watcher struct {
	mu     sync.Mutex
	cancel context.CancelFunc
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
	for ctx.Err() == nil {
		err := nd.store.Watch(ctx, plat.RootName, func(object plat.Object) { nd.rootSeen(ctx, object) })
		if ctx.Err() == nil {
			nd.event(trace.Event{Kind: trace.PlatformFailed, Detail: fault.From(err).Error()})
		}
		sleep(ctx, jitter(platformPause))
	}
}

// rootSeen fetches what a root names and offers it to the reducer.
func (nd *Node) rootSeen(ctx context.Context, object plat.Object) {
	if object.Revision == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	offer := conf.Offered{Digest: codec.HashOf(object.Body), Platform: true}
	root, err := codec.ReadRoot(object.Body)
	offer.Version = root.Version
	if err == nil && root.Version > nd.view().Version {
		offer.Snapshot, err = nd.fetch(ctx, object)
	}
	offer.Err = fault.From(err)
	nd.loop.post(offer)
}

func (nd *Node) fetch(ctx context.Context, object plat.Object) (conf.Snapshot, error) {
	bundle, err := admin.FetchBundle(ctx, nd.store, object.Body, nd.bundle())
	if err != nil {
		return conf.Snapshot{}, err
	}
	return codec.Open(bundle)
}

// offer passes a peer's configuration to the reducer.
func (nd *Node) offer(bundle conf.Bundle, version types.Version) {
	snap, err := codec.Open(bundle)
	nd.loop.post(conf.Offered{Snapshot: snap, Version: version, Err: fault.From(err)})
}

// readRoot reads the platform's root once.
func (nd *Node) readRoot(ctx context.Context) {
	object, err := nd.store.Get(ctx, plat.RootName)
	if err == nil {
		nd.rootSeen(ctx, object)
	}
}

type recordWire struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
}

func (nd *Node) recordName() plat.Name {
	return plat.Name{Kind: plat.RecordKind, Name: string(nd.settings.Instance)}
}

// join writes the node's directory record and learns those of others.
func (nd *Node) join(ctx context.Context) error {
	nd.loop.post(fleet.SeedsFound{Addresses: nd.settings.Peers})
	for ctx.Err() == nil {
		if err := nd.register(ctx); err != nil {
			sleep(ctx, jitter(platformPause))
			continue
		}
		if nd.alone() {
			sleep(ctx, jitter(aloneInterval))
			continue
		}
		sleep(ctx, jitter(joinInterval))
	}
	return nil
}

// alone reports whether no other live node is known.
func (nd *Node) alone() bool {
	for _, member := range nd.view().Members {
		if member.ID != nd.settings.Instance && member.Status == fleet.Alive {
			return false
		}
	}
	return true
}

func (nd *Node) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	objects, err := nd.store.List(ctx, plat.RecordKind)
	if err != nil {
		return err
	}
	var seeds []types.Address
	own := plat.Object{Name: nd.recordName()}
	var ownWire recordWire
	for _, object := range objects {
		var wire recordWire
		if json.Unmarshal(object.Body, &wire) != nil || wire.Address == "" {
			continue
		}
		if object.Name == own.Name {
			own, ownWire = object, wire
			continue
		}
		seeds = append(seeds, types.Address(wire.Address))
	}
	nd.loop.post(fleet.SeedsFound{Addresses: seeds})
	wire := recordWire{Instance: string(nd.settings.Instance), Address: string(nd.PeerAddress()), Zone: string(nd.settings.Zone)}
	if wire == ownWire {
		return nil
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return err
	}
	_, err = nd.store.Put(ctx, own.WithBody(body))
	return err
}

// leave removes the node's directory record.
func (nd *Node) leave(life context.Context) error {
	ctx, cancel := context.WithTimeout(life, leaveTimeout)
	defer cancel()
	object, err := nd.store.Get(ctx, nd.recordName())
	if err == nil {
		_ = nd.store.Delete(ctx, object)
	}
	sleep(life, leavePause)
	return nil
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
