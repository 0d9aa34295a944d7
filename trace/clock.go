package trace

import (
	"sync"
	"time"
)

// maxAhead is how far a peer's stamp may be ahead of the local time. Stamps further
// ahead are ignored, so that a peer whose clock is wrong does not advance the local
// clock.
const maxAhead = time.Minute

// Clock is a hybrid logical clock. Its stamps follow the wall clock, but never go
// back and are later than all stamps that it observed from peers. It is safe for
// concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that has issued and observed no stamp.
func NewClock() *Clock { return &Clock{} }

// Now returns a stamp for the local time now. The stamp is later than all stamps
// that the clock issued or observed before.
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

// Observe advances the clock to a peer's stamp, so that the stamps issued from then
// on are later than the peer's. A stamp more than maxAhead later than the local
// time now is ignored.
func (c *Clock) Observe(seen Stamp, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen.Wall.Sub(now) > maxAhead || !c.last.Before(seen) {
		return
	}
	c.last = seen
}
