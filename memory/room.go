package memory

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Room is the part of a budget that the body of one request takes. It has one user at
// first, which reads the body. A nil room takes nothing and is never given up.
type Room struct {
	budget   *Budget
	abort    func()
	openedAt time.Time
	// arrivedAt is when the latest bytes arrived, in nanoseconds of Unix time, and arrived
	// the number of bytes so far.
	arrivedAt, arrived atomic.Int64

	// The fields below are guarded by the budget's mu. size is 0 once the body is given up.
	size             int64
	users            int
	reading, givenUp bool
}

// Take adds size bytes to the room. The error is ErrNoRoom or ErrGivenUp; the room is then
// as before.
func (rm *Room) Take(size int64, now time.Time) error {
	if rm == nil {
		return nil
	}
	victims, err := rm.budget.take(rm, size, now)
	for _, victim := range victims {
		victim.abort()
		rm.budget.givenUp()
	}
	if errors.Is(err, ErrNoRoom) {
		rm.budget.refused()
	}
	return err
}

// Return gives size bytes back, which must not be more than were taken.
func (rm *Room) Return(size int64) {
	if rm == nil {
		return
	}
	bg := rm.budget
	bg.mu.Lock()
	defer bg.mu.Unlock()
	if rm.givenUp {
		return
	}
	before := largePart(rm.size)
	rm.size -= size
	bg.held -= size
	bg.large += largePart(rm.size) - before
}

// Arrived notes that count bytes of the body have arrived.
func (rm *Room) Arrived(count int, now time.Time) {
	if rm == nil {
		return
	}
	rm.arrived.Add(int64(count))
	rm.arrivedAt.Store(now.UnixNano())
}

// Complete notes that the whole body has arrived. The body is not given up any more. The
// error is ErrGivenUp if it already was.
func (rm *Room) Complete() error {
	if rm == nil {
		return nil
	}
	rm.budget.mu.Lock()
	defer rm.budget.mu.Unlock()
	if rm.givenUp {
		return ErrGivenUp
	}
	rm.budget.endReading(rm)
	return nil
}

// Share adds a user. The room is kept until each of its users has called Release.
func (rm *Room) Share() *Room {
	if rm == nil {
		return nil
	}
	rm.budget.mu.Lock()
	defer rm.budget.mu.Unlock()
	rm.users++
	return rm
}

// Release ends one use of the room. The last one gives its bytes back.
func (rm *Room) Release() {
	if rm == nil {
		return
	}
	rm.budget.mu.Lock()
	defer rm.budget.mu.Unlock()
	rm.users--
	if rm.users == 0 {
		rm.budget.free(rm)
	}
}

// slow reports whether the body arrives so slowly that it may be given up.
func (rm *Room) slow(now time.Time) bool {
	stalled := now.UnixNano()-rm.arrivedAt.Load() >= int64(stallTime)
	return stalled || now.Sub(rm.openedAt) >= minAge && rm.rate(now) < slowRate
}

// rate returns the bytes per second at which the body has arrived so far.
func (rm *Room) rate(now time.Time) float64 {
	return float64(rm.arrived.Load()) / max(now.Sub(rm.openedAt).Seconds(), time.Millisecond.Seconds())
}
