package node

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
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
	// Goroutines that the node started read the clock too.
	var passed atomic.Int64
	clock := func() time.Time { return started.Add(time.Duration(passed.Load())) }
	delegate.now, delegate.loop.now = clock, clock
	message := fleet.Message{From: "live", Full: true, Members: []fleet.Member{
		{ID: "live", Status: fleet.Alive, Address: live.PeerAddress(), StartedAt: started},
		{ID: "gone", Status: fleet.Dead, Address: gone.PeerAddress(), StartedAt: started},
	}}
	delegate.loop.post(fleet.ExchangeAnswered{Peer: "live", Epoch: 1, Message: message})

	delegate.removeStale(ctx, records(is, store))
	is.Equal(len(records(is, store)), 3) // the instance is dead, but for less than staleAfter

	read := records(is, store)
	passed.Add(int64(staleAfter + time.Minute))
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

// TestRecordForgetsCrashesOfReleasedRequests guards against a hold that was lifted and is
// in force again after a restart of all nodes, as records that no longer were needed kept
// what speaks for it.
func TestRecordForgetsCrashesOfReleasedRequests(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := plat.NewMemory().Store()
	nd := testNode(is, store, "one")
	now := nd.now()
	nd.now, nd.loop.now = func() time.Time { return now }, func() time.Time { return now }
	message := fleet.Message{From: "two", Full: true}
	for _, id := range []types.InstanceID{"two", "three", "four"} {
		message.Members = append(message.Members, fleet.Member{ID: id, Status: fleet.Alive, Address: "127.0.0.1:1", Zone: "kolkata", StartedAt: now})
	}
	nd.loop.post(fleet.ExchangeAnswered{Peer: "two", Epoch: 1, Message: message})
	var read core.RecordRead
	for number := range uint64(6) {
		endedAt := now.Add(time.Duration(number) * -time.Second)
		read.Crashes = append(read.Crashes, blame.StoredCrash{Number: 6 - number, EndedAt: endedAt, Runs: []blame.Run{{Content: 7, Elapsed: time.Millisecond}}})
	}
	nd.loop.post(read)
	now = now.Add(200 * time.Millisecond)
	hasCrashes := func() bool {
		is.NoErr(nd.updateDirectory(ctx))
		all := records(is, store)
		return len(all) == 1 && strings.Contains(string(all[0].Body), `"crashes":[{"number":1,`)
	}
	is.True(hasCrashes())
	is.NoErr(nd.release(7))
	is.True(!hasCrashes())
}

// TestOddRecordsKeepNoNodeAlone guards against a node that finds no peer because its own
// record, or another one, can't be read.
func TestOddRecordsKeepNoNodeAlone(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := plat.NewMemory().Store()
	is.NoErr(testNode(is, store, "b").writeRecord(ctx))
	odd := func(name, body string) plat.Object {
		return plat.Object{Name: plat.Name{Kind: plat.RecordKind, Name: name}, Body: []byte(body)}
	}
	for name, body := range map[string]string{"c": `{"address":7}`, "d": `{"address":"10.0.0.1:99999"}`} {
		_, err := store.Put(ctx, odd(name, body))
		is.NoErr(err)
	}
	nd := testNode(is, store, "a")
	unreadable := odd("a", "").WithError(fault.New(fault.InvalidInput, "nested too deeply"))
	nd.store.Get = func(context.Context, plat.Name) (plat.Object, error) { return unreadable, unreadable.Err }
	list := nd.store.List
	nd.store.List = func(ctx context.Context, kind plat.Kind) ([]plat.Object, error) {
		objects, err := list(ctx, kind)
		return append(objects, unreadable), err
	}
	is.NoErr(nd.readRecord(ctx))
	found, err := nd.addSeeds(ctx, nd.store.List)
	is.NoErr(err)
	is.Equal(found, 1) // the record of b
	is.Equal(nd.unreadable.Len(), 3)
}
