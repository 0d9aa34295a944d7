package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// DefaultStartJitter is the default upper limit of the random delay before a
	// starting node's first read and first write of the platform's store. The
	// delay keeps nodes that start together from calling the store at the same
	// time.
	DefaultStartJitter = 3 * time.Second
	// refreshInterval is the average time between a node's reads of the
	// directory when it knows other live nodes.
	refreshInterval = 10 * time.Minute
	// discoveryInterval is the average time between a node's reads of the
	// directory while it knows no other live node.
	discoveryInterval = 2 * time.Second
	// recordInterval is the average time between two checks of whether the node's
	// directory record is needed and up to date.
	recordInterval = time.Second
	// contactLimit is how long a node waits for an answer of the peers that it found
	// in the directory.
	contactLimit = 500 * time.Millisecond
	// staleAfter is how long an instance must have been gone from the fleet, by
	// failure or by leaving, before its directory record is removed.
	staleAfter = 2 * time.Hour
	// maxUnreadable bounds the number of unreadable entries of the directory that are
	// recorded.
	maxUnreadable = 64
)

// join lets the node and its peers find each other, through the configured
// peers and the directory of nodes in the platform's store, and starts reading
// the configuration's root object. It returns when ctx ends.
func (nd *Node) join(ctx context.Context) error {
	nd.loop.post(fleet.SeedsFound{Addresses: nd.settings.Peers})
	sleep(ctx, randomDelay(nd.settings.StartJitter))
	nd.startRootRead(1)
	nd.maintainRecord(ctx)
	return nil
}

// maintainRecord finds peers through the directory while the node knows none, and
// keeps the node's own directory record up to date. Only nodes that others need there
// have a record: see needsRecord. maintainRecord reads the whole directory every
// refreshInterval on average.
func (nd *Node) maintainRecord(ctx context.Context) {
	pause := newBackoff()
	ownRead := nd.settings.FirstStart
	refreshAt := nd.now().Add(jitter(refreshInterval))
	if ownRead {
		nd.loop.post(core.RecordRead{})
	}
	for ctx.Err() == nil {
		var err error
		if nd.recordKeeper.forgetBefore(nd.store.Era()) {
			nd.recordEvent(trace.Event{Kind: trace.PlatformRestored, Subject: nd.settings.Instance, Detail: fmt.Sprintf("era %d", nd.store.Era())})
		}
		if !ownRead {
			err = nd.readRecord(ctx)
			ownRead = err == nil
		}
		if err == nil {
			err = nd.updateDirectory(ctx)
		}
		if err != nil {
			pause.sleep(ctx)
			continue
		}
		pause.reset()
		sleep(ctx, jitter(recordInterval))
		if nd.now().After(refreshAt) {
			refreshAt = nd.now().Add(jitter(refreshInterval))
			nd.refresh(ctx)
		}
	}
}

// updateDirectory finds peers if the node knows none, and writes the node's record if
// others need it or if there is one that may be out of date.
func (nd *Node) updateDirectory(ctx context.Context) error {
	if nd.alone() {
		return nd.findPeers(ctx)
	}
	if nd.needsRecord() || nd.recordKeeper.written() {
		return nd.writeRecord(ctx)
	}
	return nil
}

// needsRecord reports whether the directory must have a record of this node. It needs
// one of each delegate, through which starting nodes find the fleet, and of each node
// that must find the departure of its upstream, or the ends of it for which requests are
// held back, there after a restart.
func (nd *Node) needsRecord() bool {
	needed := false
	nd.loop.read(func(state *core.State) {
		needed = state.Fleet().IsDelegate() || state.Fleet().Self().Departure.IsSome() || len(state.StoredCrashes(nd.now())) > 0
	})
	return needed
}

// findPeers looks for other nodes in the directory. If a cached copy of the directory
// leads to none, the node writes its own record and reads the directory itself. A node
// writes its record before that read, so of two nodes that start together at least one
// finds the other.
func (nd *Node) findPeers(ctx context.Context) error {
	found, err := nd.addSeeds(ctx, nd.store.ListCached)
	if err == nil && found > 0 && nd.awaitPeer(ctx) {
		return nil
	}
	failed := nd.writeRecord(ctx)
	if _, err := nd.readDirectory(ctx); err != nil {
		return err
	}
	if !nd.awaitPeer(ctx) {
		sleep(ctx, jitter(discoveryInterval))
	}
	return failed
}

// recordUnreadable records an entry of the directory that can't be read, once for the same
// error.
func (nd *Node) recordUnreadable(name plat.Name, err error) {
	detail := string(name.Kind) + "/" + name.Name + ": " + fault.From(err).Error()
	if nd.unreadable.Has(detail) || nd.unreadable.Len() >= maxUnreadable {
		return
	}
	nd.unreadable = nd.unreadable.With(detail)
	nd.recordEvent(trace.Event{Kind: trace.EntryUnreadable, Detail: detail})
}

// awaitPeer waits for the first live peer, at most for contactLimit. It reports
// whether there is one.
func (nd *Node) awaitPeer(ctx context.Context) bool {
	for waited := time.Duration(0); waited < contactLimit && ctx.Err() == nil; waited += peerPollInterval {
		if !nd.alone() {
			return true
		}
		sleep(ctx, peerPollInterval)
	}
	return false
}

// refresh reads the directory. If this node watches the configuration's root
// object, it also removes stale records from the directory.
func (nd *Node) refresh(ctx context.Context) {
	objects, err := nd.readDirectory(ctx)
	if err == nil && nd.watch.running() {
		nd.removeStale(ctx, objects)
	}
}

// alone reports whether this node knows no other live node.
func (nd *Node) alone() bool {
	alone := true
	nd.loop.read(func(state *core.State) { alone = state.Fleet().LiveCount() == 0 })
	return alone
}

// readDirectory lists the records of the directory and returns them. It also adds
// the addresses of the other nodes' records to the node's seeds, that is the addresses
// through which the node joins the fleet.
func (nd *Node) readDirectory(ctx context.Context) ([]plat.Object, error) {
	var objects []plat.Object
	_, err := nd.addSeeds(ctx, func(ctx context.Context, kind plat.Kind) ([]plat.Object, error) {
		listed, err := nd.store.List(ctx, kind)
		objects = listed
		return listed, err
	})
	if err != nil {
		return nil, err
	}
	own := slices.IndexFunc(objects, func(object plat.Object) bool { return object.Name == nd.recordName() })
	if own < 0 {
		nd.recordKeeper.forgetUnless("")
	} else {
		nd.recordKeeper.forgetUnless(objects[own].Revision)
	}
	return objects, nil
}

// addSeeds lists the directory with the given function and adds the addresses of the
// other nodes to the node's seeds. It returns the number of these addresses.
func (nd *Node) addSeeds(ctx context.Context, list func(context.Context, plat.Kind) ([]plat.Object, error)) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	objects, err := list(ctx, plat.RecordKind)
	if err != nil {
		return 0, err
	}
	var seeds []types.Address
	for _, object := range objects {
		wire, err := readRecordWire(object)
		if err != nil {
			nd.recordUnreadable(object.Name, err)
			continue
		}
		if wire.Address != "" && object.Name != nd.recordName() {
			seeds = append(seeds, types.Address(wire.Address))
		}
	}
	nd.loop.post(fleet.SeedsFound{Addresses: seeds})
	return len(seeds), nil
}

// removeStale deletes the records of instances that have been gone for longer
// than staleAfter. objects are the records read from the directory. A record
// that has been rewritten since then is kept, because each deletion is
// conditional on the revision that was read.
func (nd *Node) removeStale(ctx context.Context, objects []plat.Object) {
	for _, object := range objects {
		wire, err := readRecordWire(object)
		if err != nil || !nd.isStale(wire) {
			continue
		}
		if nd.store.Delete(ctx, object) == nil {
			nd.recordEvent(trace.Event{Kind: trace.NodeRecordRemoved, Subject: types.InstanceID(wire.Instance)})
		}
	}
}

// isStale reports whether a record belongs to a process that has been gone for
// longer than staleAfter. There are two special cases:
//   - If this node has never seen the instance, the record is stale once this
//     node itself has run for longer than staleAfter.
//   - If the instance now runs at another address, the record is stale once the
//     instance's current process has run for longer than staleAfter.
func (nd *Node) isStale(wire recordWire) bool {
	now := nd.now()
	gone := false
	nd.loop.read(func(state *core.State) {
		id := types.InstanceID(wire.Instance)
		member, known := state.Fleet().Member(id)
		since, dead := state.Fleet().GoneSince(id)
		switch {
		case !known:
			gone = now.Sub(state.Fleet().Self().StartedAt) > staleAfter
		case dead:
			gone = now.Sub(since) > staleAfter
		default:
			gone = string(member.Address) != wire.Address && now.Sub(member.StartedAt) > staleAfter
		}
	})
	return gone
}

// randomDelay returns a random duration below limit, or 0 if limit is not
// positive.
func randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}
