package trace

import (
	"sync"
	"time"
)

// maxAhead is how far a peer's stamp may be ahead of the local time. Stamps further
// ahead are ignored, so that a peer's wrong clock does not move this one.
const maxAhead = time.Minute

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that has issued and observed no stamp.
func NewClock() *Clock { return &Clock{} }

// Now returns a stamp that is later than all stamps issued or observed before.
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

// Observe advances the clock to a peer's stamp, so that later local stamps order
// after it. A stamp more than one minute ahead of now is ignored.
func (c *Clock) Observe(seen Stamp, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen.Wall.Sub(now) > maxAhead || !c.last.Before(seen) {
		return
	}
	c.last = seen
}
