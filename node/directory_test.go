package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

func testNode(is *is.I, store *plat.Store, id types.InstanceID) *Node {
	is.Helper()
	const anyPort = "127.0.0.1:0"
	nd, err := New(Settings{
		Instance: id, Zone: "kolkata", Listen: anyPort, PeerListen: anyPort, AdminListen: anyPort,
		MaxBody: 1, StopLimit: time.Second, StartJitter: DefaultStartJitter, Policies: core.DefaultPolicies(), KeyLimits: flow.DefaultKeyLimits(), PlainText: AllPlainText(),
	}, store)
	is.NoErr(err)
	return nd
}

func records(is *is.I, store *plat.Store) []plat.Object {
	is.Helper()
	objects, err := store.List(context.Background(), plat.RecordKind)
	is.NoErr(err)
	return objects
}

func TestStaleRecordsAreRemovedUnlessWrittenSince(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := plat.NewMemory().Store()
	gone, live, delegate := testNode(is, store, "gone"), testNode(is, store, "live"), testNode(is, store, "delegate")
	for _, nd := range []*Node{gone, live, delegate} {
		is.NoErr(nd.writeRecord(ctx))
	}
	started := delegate.now()
	now := started
	delegate.now, delegate.loop.now = func() time.Time { return now }, func() time.Time { return now }
	message := fleet.Message{From: "live", Full: true, Members: []fleet.Member{
		{ID: "live", Status: fleet.Alive, Address: live.PeerAddress(), StartedAt: started},
		{ID: "gone", Status: fleet.Dead, Address: gone.PeerAddress(), StartedAt: started},
	}}
	delegate.loop.post(fleet.ExchangeAnswered{Peer: "live", Epoch: 1, Message: message})

	delegate.removeStale(ctx, records(is, store))
	is.Equal(len(records(is, store)), 3) // the instance is dead, but for less than staleAfter

	read := records(is, store)
	now = now.Add(staleAfter + time.Minute)
	restarted := testNode(is, store, "gone")
	is.NoErr(restarted.writeRecord(ctx)) // after the delegate has read the directory
	delegate.removeStale(ctx, read)
	is.Equal(len(records(is, store)), 3)

	delegate.removeStale(ctx, records(is, store))
	is.Equal(len(records(is, store)), 2)
}

func TestOnlyItsOwnRecordIsRemovedOnLeave(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := plat.NewMemory().Store()
	old, restarted := testNode(is, store, "a"), testNode(is, store, "a")
	is.NoErr(old.writeRecord(ctx))
	is.NoErr(restarted.writeRecord(ctx))
	old.leave(ctx)
	is.Equal(len(records(is, store)), 1) // the record is kept because the later process has overwritten it
	restarted.leave(ctx)
	is.Equal(len(records(is, store)), 0)
}

// TestUnansweredWriteDoesNotHoldUpLeave checks that a node leaves although a write of
// its record waits for a platform that does not answer.
func TestUnansweredWriteDoesNotHoldUpLeave(t *testing.T) {
	is := is.New(t)
	store := plat.NewMemory().Store()
	nd := testNode(is, store, "a")
	release := make(chan struct{})
	writing := make(chan struct{})
	nd.store.Put = func(context.Context, plat.Object) (plat.Object, error) {
		close(writing)
		<-release
		return plat.Object{}, nil
	}
	written := make(chan error)
	go func() { written <- nd.writeRecord(context.Background()) }()
	<-writing
	nd.leave(context.Background())
	close(release)
	is.NoErr(<-written)
}

func TestPullsServedAtOnceAreBounded(t *testing.T) {
	is := is.New(t)
	nd := testNode(is, plat.NewMemory().Store(), "a")
	for range maxPulls {
		nd.pullSlots <- struct{}{}
	}
	_, err := nd.servePull()
	is.True(err != nil)
	<-nd.pullSlots
	_, err = nd.servePull()
	is.NoErr(err)
}
