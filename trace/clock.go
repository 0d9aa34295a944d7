package trace

import (
	"sync"
	"time"
)

// maxAhead bounds how far a peer's clock may move this one forward.
const maxAhead = time.Minute

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock at its origin.
func NewClock() *Clock { return &Clock{} }

// Now returns a stamp after all earlier ones.
func (c *Clock) Now(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = now.Truncate(time.Microsecond)
	if now.After(c.last.Wall) {
		c.last = Stamp{Wall: now}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe moves the clock past a peer's stamp. A stamp too far ahead of now
// is ignored.
func (c *Clock) Observe(seen Stamp, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen.Wall.Sub(now) > maxAhead || !c.last.Before(seen) {
		return
	}
	c.last = seen
}
