package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// DefaultSpread is the time over which the nodes of a fleet that start
	// together spread their first reads, and again their writes.
	DefaultSpread = 3 * time.Second
	// refreshInterval is the time between reads of the directory.
	refreshInterval = 10 * time.Minute
	aloneInterval   = 2 * time.Second
	// staleAfter is how long an instance must be gone before its record is
	// removed.
	staleAfter = 2 * time.Hour
)

type recordWire struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
}

func (nd *Node) record() recordWire {
	return recordWire{
		Instance: string(nd.settings.Instance),
		Address:  string(nd.PeerAddress()),
		Zone:     string(nd.settings.Zone),
	}
}

func (nd *Node) recordName() plat.Name {
	return plat.Name{Kind: plat.RecordKind, Name: string(nd.settings.Instance)}
}

// join makes the node known, by its record in the platform's directory and to
// the peers that it is told of or finds there.
func (nd *Node) join(ctx context.Context) error {
	nd.loop.post(fleet.SeedsFound{Addresses: nd.settings.Peers})
	sleep(ctx, spread(nd.settings.Spread))
	nd.rootAsked(1)
	nd.keepRecord(ctx)
	return nil
}

// keepRecord writes the node's record and then reads the directory, now and
// then, or often while no other node is known. As each node writes before it
// reads, of two that start together one finds the other.
func (nd *Node) keepRecord(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		err := nd.writeRecord(ctx)
		if err == nil && nd.alone() {
			_, err = nd.readDirectory(ctx)
		}
		switch {
		case err != nil:
			pause.sleep(ctx)
			continue
		case nd.alone():
			sleep(ctx, jitter(aloneInterval))
		default:
			sleep(ctx, jitter(refreshInterval))
			nd.refresh(ctx)
		}
		pause.reset()
	}
}

// refresh reads the directory, and removes stale records on a delegate.
func (nd *Node) refresh(ctx context.Context) {
	objects, err := nd.readDirectory(ctx)
	if err == nil && nd.watch.running() {
		nd.removeStale(ctx, objects)
	}
}

// alone reports whether no other live node is known.
func (nd *Node) alone() bool {
	alone := true
	nd.loop.read(func(state *core.State) { alone = state.Fleet().Live() == 0 })
	return alone
}

// readDirectory learns the addresses of other nodes.
func (nd *Node) readDirectory(ctx context.Context) ([]plat.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	objects, err := nd.store.List(ctx, plat.RecordKind)
	if err != nil {
		return nil, err
	}
	var seeds []types.Address
	for _, object := range objects {
		var wire recordWire
		if json.Unmarshal(object.Body, &wire) == nil && wire.Address != "" && object.Name != nd.recordName() {
			seeds = append(seeds, types.Address(wire.Address))
		}
	}
	nd.loop.post(fleet.SeedsFound{Addresses: seeds})
	return objects, nil
}

// writeRecord makes the node's record say where it is. Each write is
// conditional on the revision that was read.
func (nd *Node) writeRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	body, err := json.Marshal(nd.record())
	if err != nil {
		return err
	}
	own := plat.Object{Name: nd.recordName(), Body: body}
	if !nd.recorded {
		_, err = nd.store.Put(ctx, own)
		nd.recorded = err == nil
		if !fault.Is(err, fault.VersionConflict) {
			return err
		}
	}
	found, err := nd.store.Get(ctx, nd.recordName())
	if fault.Is(err, fault.NotFound) {
		nd.recorded = false
		return err
	}
	if err == nil && string(found.Body) != string(body) {
		_, err = nd.store.Put(ctx, found.WithBody(body))
	}
	nd.recorded = nd.recorded || err == nil
	return err
}

// leave removes the node's directory record, unless another process of the
// instance has written it.
func (nd *Node) leave(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	object, err := nd.store.Get(call, nd.recordName())
	var wire recordWire
	if err == nil && json.Unmarshal(object.Body, &wire) == nil && wire == nd.record() {
		_ = nd.store.Delete(call, object)
	}
	sleep(ctx, leavePause)
}

// removeStale deletes the records of instances that are long gone. Each
// deletion is conditional on the revision that was read, so that a record
// written since stays.
func (nd *Node) removeStale(ctx context.Context, objects []plat.Object) {
	for _, object := range objects {
		var wire recordWire
		if json.Unmarshal(object.Body, &wire) != nil || !nd.stale(wire) {
			continue
		}
		if nd.store.Delete(ctx, object) == nil {
			nd.event(trace.Event{Kind: trace.RecordRemoved, Subject: types.InstanceID(wire.Instance)})
		}
	}
}

// stale reports whether a record names a process that has been gone for long.
func (nd *Node) stale(wire recordWire) bool {
	now := nd.now()
	gone := false
	nd.loop.read(func(state *core.State) {
		id := types.InstanceID(wire.Instance)
		member, known := state.Fleet().Member(id)
		since, dead := state.Fleet().GoneSince(id)
		switch {
		case !known:
			gone = now.Sub(state.Fleet().Self().Started) > staleAfter
		case dead:
			gone = now.Sub(since) > staleAfter
		default:
			gone = string(member.Address) != wire.Address && now.Sub(member.Started) > staleAfter
		}
	})
	return gone
}

// spread returns a random part of a time.
func spread(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}
