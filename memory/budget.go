// Package memory bounds the bytes that a process keeps of the bodies of requests. A client
// may announce any body and leave it unfinished for as long as it likes, so that a limit
// on each body does not bound their sum.
//
// Room is taken for what has arrived, never for what is announced. While there is none
// left, bodies that arrive slowly are given up for a newcomer, the slowest first; if none
// is slow, the newcomer is refused. Nothing waits for room. A body that has arrived
// completely keeps its room until its request has ended.
//
// # Usage
//
//	budget := memory.NewBudget(64 << 20)
//	room := budget.Open(now, abortRead)
//	defer room.Release()
//	if err := room.Take(4096, now); err != nil { ... }
//	room.Arrived(count, now)
//	if err := room.Complete(); err != nil { ... }
package memory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// SmallSize is the size in bytes up to which a body, with a copy of it while its buffer
	// grows, may take any part of a budget.
	SmallSize = 128 << 10
	// smallPart is the part of a budget that larger bodies leave to small ones.
	smallPart = 4
	// stallTime is the time without a byte after which a body is slow. minAge is the age
	// from which a body below slowRate, in bytes per second, is slow.
	stallTime = time.Second
	minAge    = time.Second
	slowRate  = 64 << 10
)

var (
	// ErrNoRoom means that the budget has no room left and no body that is slow.
	ErrNoRoom = errors.New("there is no room for the body")
	// ErrGivenUp means that the room of a slow body was given to another one.
	ErrGivenUp = errors.New("the body arrived slowly and its room was given to another one")
)

// Budget is the number of bytes that the bodies of requests may take together. It is safe
// for concurrent use.
type Budget struct {
	limit   int64
	refused func()
	givenUp func()

	mu sync.Mutex
	// held is the number of bytes taken, and large the part taken by bodies above SmallSize.
	held, large int64
	// reading are the rooms of bodies that are still arriving.
	reading map[*Room]struct{}
}

// Option changes a setting of a budget.
type Option func(*Budget)

// WithRefused sets a function that is called for each body that is refused.
func WithRefused(refused func()) Option {
	return func(bg *Budget) { bg.refused = refused }
}

// WithGivenUp sets a function that is called for each body that is given up.
func WithGivenUp(givenUp func()) Option {
	return func(bg *Budget) { bg.givenUp = givenUp }
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64, opts ...Option) *Budget {
	bg := &Budget{limit: limit, refused: func() {}, givenUp: func() {}, reading: map[*Room]struct{}{}}
	for _, opt := range opts {
		opt(bg)
	}
	return bg
}

// Limit returns the size of the budget in bytes.
func (bg *Budget) Limit() int64 { return bg.limit }

// Held returns the number of bytes taken.
func (bg *Budget) Held() int64 {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	return bg.held
}

// Open returns room of no bytes for a body that begins to arrive. abort is called if the
// body is given up: it must make the reading of the body end soon, and must not block.
func (bg *Budget) Open(now time.Time, abort func()) *Room {
	room := &Room{budget: bg, abort: abort, openedAt: now, users: 1, reading: true}
	room.arrivedAt.Store(now.UnixNano())
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.reading[room] = struct{}{}
	return room
}

// take adds size bytes to a room. It returns the rooms that were given up for it.
func (bg *Budget) take(room *Room, size int64, now time.Time) ([]*Room, error) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	if room.givenUp {
		return nil, ErrGivenUp
	}
	before, after := largePart(room.size), largePart(room.size+size)
	missing := bg.held + size - bg.limit
	missingLarge := int64(0)
	if after > 0 {
		missingLarge = bg.large + after - before - (bg.limit - bg.limit/smallPart)
	}
	victims, ok := bg.victims(room, missing, missingLarge, now)
	if !ok {
		return nil, ErrNoRoom
	}
	for _, victim := range victims {
		victim.givenUp = true
		bg.free(victim)
	}
	bg.held += size
	bg.large += after - before
	room.size += size
	return victims, nil
}

// victims returns the slowest bodies whose room makes up for the bytes that are missing in
// all and of those for large bodies. It returns false if there are not enough slow ones.
func (bg *Budget) victims(newcomer *Room, missing, missingLarge int64, now time.Time) ([]*Room, bool) {
	if missing <= 0 && missingLarge <= 0 {
		return nil, true
	}
	type slowRoom struct {
		*Room
		rate float64
	}
	var slow []slowRoom
	for room := range bg.reading {
		if room != newcomer && room.size > 0 && room.slow(now) {
			slow = append(slow, slowRoom{Room: room, rate: room.rate(now)})
		}
	}
	slices.SortFunc(slow, func(a, b slowRoom) int { return cmp.Compare(a.rate, b.rate) })
	var victims []*Room
	for _, room := range slow {
		part := largePart(room.size)
		if missing <= 0 && (missingLarge <= 0 || part == 0) {
			continue
		}
		missing -= room.size
		missingLarge -= part
		victims = append(victims, room.Room)
	}
	return victims, missing <= 0 && missingLarge <= 0
}

// free takes all bytes of a room back. The caller must hold mu.
func (bg *Budget) free(room *Room) {
	bg.held -= room.size
	bg.large -= largePart(room.size)
	room.size = 0
	bg.endReading(room)
}

// endReading notes that a body no longer arrives. The caller must hold mu.
func (bg *Budget) endReading(room *Room) {
	room.reading = false
	delete(bg.reading, room)
}

// largePart returns how many bytes of a room of the given size count as those of a large
// body.
func largePart(size int64) int64 {
	if size > SmallSize {
		return size
	}
	return 0
}
