package node

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
)

// recordWire is the JSON body of a node's record in the directory of nodes,
// which is kept in the platform's store.
type recordWire struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	// Departure is the latest departure of a process of the node's upstream.
	Departure departureWire `json:"departure,omitzero"`
	// Crashes are ends of the node's upstream for which requests are held back.
	Crashes []crashWire `json:"crashes,omitempty"`
}

// readRecordWire decodes a record of the directory. The error is of kind
// fault.InvalidInput.
func readRecordWire(object plat.Object) (recordWire, error) {
	var wire recordWire
	if object.Err != nil {
		return wire, object.Err
	}
	if err := json.Unmarshal(object.Body, &wire); err != nil {
		return recordWire{}, fault.Wrap(fault.InvalidInput, err, "decode the record")
	}
	_, port, err := net.SplitHostPort(wire.Address)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return recordWire{}, fault.Wrap(fault.InvalidInput, err, "read the record's address")
	}
	return wire, nil
}

// read returns the event that the record was read.
func (w recordWire) read() core.RecordRead {
	return core.RecordRead{Departure: w.Departure.departure(), Crashes: storedCrashes(w.Crashes)}
}

// recordKeeper remembers the state of the node's directory record.
type recordKeeper struct {
	mu sync.Mutex
	// revision is the revision of the record as last written. It is empty if the
	// node has not written the record.
	revision plat.Revision
	// body is the record's body as last written.
	body string
	// era is the platform's era in which the record was last read or written.
	era plat.Era
}

// lock locks mu, unless ctx ends first. It reports whether mu is locked.
func (rk *recordKeeper) lock(ctx context.Context) bool {
	for !rk.mu.TryLock() {
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, peerPollInterval)
	}
	return true
}

// forgetBefore makes the node write its record again if the platform has come back from
// an older copy, which may lack the record. It reports whether that is so.
func (rk *recordKeeper) forgetBefore(era plat.Era) bool {
	rk.mu.Lock()
	defer rk.mu.Unlock()
	if rk.era == era {
		return false
	}
	lost := rk.revision != ""
	rk.era, rk.revision = era, ""
	return lost
}

// written reports whether the node has written a record.
func (rk *recordKeeper) written() bool {
	rk.mu.Lock()
	defer rk.mu.Unlock()
	return rk.revision != ""
}

// forgetUnless makes the node write its record again, unless the directory has the
// record at the revision that the node wrote last.
func (rk *recordKeeper) forgetUnless(found plat.Revision) {
	rk.mu.Lock()
	defer rk.mu.Unlock()
	if rk.revision != found {
		rk.revision = ""
	}
}

func (nd *Node) record() recordWire {
	wire := recordWire{
		Instance: string(nd.settings.Instance),
		Address:  string(nd.PeerAddress()),
		Zone:     string(nd.settings.Zone),
	}
	nd.loop.read(func(state *core.State) {
		if departure, ok := state.Fleet().Self().Departure.Get(); ok {
			wire.Departure = departureToWire(departure)
		}
		wire.Crashes = crashesToWire(state.StoredCrashes(nd.now()))
	})
	return wire
}

func (nd *Node) recordName() plat.Name {
	return plat.Name{Kind: plat.RecordKind, Name: string(nd.settings.Instance)}
}

// readRecord reads the record that an earlier process of this node left in the
// directory, and applies what it says.
func (nd *Node) readRecord(ctx context.Context) error {
	nd.recordKeeper.mu.Lock()
	defer nd.recordKeeper.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	found, err := nd.store.Get(ctx, nd.recordName())
	if err != nil && !fault.Is(err, fault.NotFound) && !fault.Is(err, fault.InvalidInput) {
		return err
	}
	var wire recordWire
	if err == nil {
		wire, err = readRecordWire(found)
	}
	if fault.Is(err, fault.InvalidInput) {
		nd.recordUnreadable(nd.recordName(), err)
	}
	if err == nil {
		nd.recordKeeper.revision, nd.recordKeeper.body, nd.recordKeeper.era = found.Revision, string(found.Body), found.Revision.Era()
	}
	nd.loop.post(wire.read())
	return nil
}

// writeRecord creates the node's directory record, or updates it if its content
// has changed. If the directory has a record of an earlier process of this
// instance, writeRecord first applies what it says.
func (nd *Node) writeRecord(ctx context.Context) error {
	nd.recordKeeper.mu.Lock()
	defer nd.recordKeeper.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := nd.putRecord(ctx, nd.recordKeeper.revision)
	if fault.Is(err, fault.VersionConflict) || fault.Is(err, fault.NotFound) {
		nd.recordKeeper.revision = ""
		err = nd.replaceRecord(ctx)
	}
	if nd.recordKeeper.revision == "" {
		return err
	}
	nd.loop.post(core.RecordRead{})
	return err
}

// replaceRecord reads the node's directory record and replaces it.
func (nd *Node) replaceRecord(ctx context.Context) error {
	found, err := nd.store.Get(ctx, nd.recordName())
	if fault.Is(err, fault.NotFound) {
		return nd.putRecord(ctx, "")
	}
	if err != nil {
		return err
	}
	if wire, err := readRecordWire(found); err == nil {
		nd.loop.post(wire.read())
	}
	return nd.putRecord(ctx, found.Revision)
}

// putRecord writes the node's directory record, under the condition that the
// record has the given revision, or does not exist if the revision is empty. It
// writes nothing if the record is up to date as far as the node knows.
func (nd *Node) putRecord(ctx context.Context, revision plat.Revision) error {
	body, err := json.Marshal(nd.record())
	if err != nil {
		return err
	}
	keeper := &nd.recordKeeper
	if keeper.revision != "" && keeper.body == string(body) {
		return nil
	}
	stored, err := nd.store.Put(ctx, plat.Object{Name: nd.recordName(), Revision: revision, Body: body})
	if err == nil {
		keeper.revision, keeper.body, keeper.era = stored.Revision, string(body), stored.Revision.Era()
	}
	return err
}

// leave deletes the node's directory record, unless another process of the same
// instance has overwritten it. It then waits for leaveDelay. A write of the record that
// the platform does not answer holds the stop up for at most leaveTimeout.
func (nd *Node) leave(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if nd.recordKeeper.lock(call) {
		if revision := nd.recordKeeper.revision; revision != "" {
			_ = nd.store.Delete(call, plat.Object{Name: nd.recordName(), Revision: revision})
		}
		nd.recordKeeper.mu.Unlock()
	}
	sleep(ctx, leaveDelay)
}
