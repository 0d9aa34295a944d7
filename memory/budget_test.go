package memory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/memory"
)

const limit = 16 * memory.SmallSize

// client is a body that is sent to a budget.
type client struct {
	room                *memory.Room
	size, arrived       int64
	openedAt, arrivedAt time.Time
	users               int
	whole, aborted      bool
}

// slow reports whether the body may be given up: it is still read, and has been silent for
// a second or came with less than 64 KiB/s from its first second on.
func (cl *client) slow(now time.Time) bool {
	age := now.Sub(cl.openedAt)
	return !cl.whole && (now.Sub(cl.arrivedAt) >= time.Second || age >= time.Second && float64(cl.arrived) < 64<<10*age.Seconds())
}

// crowd plays clients against a budget.
type crowd struct {
	t       *rapid.T
	budget  *memory.Budget
	now     time.Time
	clients []*client
}

func newCrowd(t *rapid.T) *crowd {
	return &crowd{t: t, budget: memory.NewBudget(limit), now: time.Unix(1_800_000_000, 0)}
}

func (cr *crowd) open() *client {
	cl := &client{openedAt: cr.now, arrivedAt: cr.now, users: 1}
	cl.room = cr.budget.Open(cr.now, func() {
		if cl.aborted || !cl.slow(cr.now) {
			cr.t.Fatalf("a body was given up twice or is not slow: %+v", cl)
		}
		cl.aborted, cl.size = true, 0
	})
	cr.clients = append(cr.clients, cl)
	return cl
}

func (cr *crowd) take(cl *client, size int64) error {
	err := cl.room.Take(size, cr.now)
	if err == nil {
		cl.size += size
	}
	return err
}

func (cr *crowd) arrive(cl *client, count int) {
	cl.room.Arrived(count, cr.now)
	cl.arrived, cl.arrivedAt = cl.arrived+int64(count), cr.now
}

func (cr *crowd) release(cl *client) {
	cl.room.Release()
	cl.users--
	if cl.users == 0 {
		cl.whole, cl.size = true, 0
	}
}

// step lets a random client do something.
func (cr *crowd) step() {
	cr.now = cr.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(cr.t, "ms")) * time.Millisecond)
	cl := rapid.SampledFrom(cr.clients).Draw(cr.t, "client")
	size := rapid.Int64Range(1, limit/2).Draw(cr.t, "size")
	switch action := rapid.IntRange(0, 9).Draw(cr.t, "action"); {
	case cl.users == 0 || action == 0:
		cr.open()
	case action == 1:
		cr.release(cl)
	case action == 2:
		cl.room.Share()
		cl.users++
	case action == 3:
		err := cl.room.Complete()
		cl.whole = cl.whole || err == nil
		cr.check(errors.Is(err, memory.ErrGivenUp) == cl.aborted)
	case action == 4 && size <= cl.size:
		cl.room.Return(size)
		cl.size -= size
	case cl.whole:
	case action < 7:
		cr.arrive(cl, int(size))
	default:
		cr.check(errors.Is(cr.take(cl, size), memory.ErrGivenUp) == cl.aborted)
	}
}

func (cr *crowd) check(ok bool) {
	cr.t.Helper()
	if !ok {
		cr.t.Fatal("unexpected state")
	}
}

// TestBudgetIsKept plays random crowds. What is taken is counted exactly, stays inside the
// budget and leaves a quarter to small bodies; no active body is given up.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cr := newCrowd(rt)
		cr.open()
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			cr.step()
			var held, large int64
			for _, cl := range cr.clients {
				held += cl.size
				if cl.size > memory.SmallSize {
					large += cl.size
				}
			}
			cr.check(cr.budget.Held() == held && held <= limit && large <= limit*3/4)
		}
		for _, cl := range cr.clients {
			for cl.users > 0 {
				cr.release(cl)
			}
		}
		cr.check(cr.budget.Held() == 0)
	})
}

// TestStalledCrowdGivesRoom guards against a crowd that takes all room and stays.
func TestStalledCrowdGivesRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cr := newCrowd(rt)
		for range rapid.IntRange(1, 100).Draw(rt, "clients") {
			cl := cr.open()
			for range 5 {
				size := rapid.Int64Range(1, limit/4).Draw(rt, "size")
				if cr.take(cl, size) == nil {
					cr.arrive(cl, int(size))
				}
			}
		}
		cr.now = cr.now.Add(time.Second)
		cr.check(cr.take(cr.open(), limit*3/4) == nil)
	})
}

func TestNoRoomWhileOthersAreServed(t *testing.T) {
	check := is.New(t)
	now := time.Now()
	refused, givenUp := 0, 0
	budget := memory.NewBudget(limit, memory.WithRefused(func() { refused++ }), memory.WithGivenUp(func() { givenUp++ }))
	whole, fast := budget.Open(now, nil), budget.Open(now, nil)
	check.NoErr(whole.Take(limit/2, now))
	check.NoErr(whole.Complete())
	check.NoErr(fast.Take(limit/4, now))
	now = now.Add(time.Minute)
	fast.Arrived(limit*100, now)
	large, small := budget.Open(now, nil), budget.Open(now, nil)
	check.Equal(large.Take(limit/4, now), memory.ErrNoRoom)
	check.NoErr(small.Take(memory.SmallSize, now))
	whole.Release()
	check.NoErr(large.Take(limit/4, now))
	check.Equal(refused, 1)
	check.Equal(givenUp, 0)
}
