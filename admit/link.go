package admit

import (
	"time"

	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/types"
)

// largeAnswer is the size in bytes from which the time that an answer takes on
// the link counts.
const largeAnswer = 16 << 10

// link estimates how long answers take to leave the instance. The zero value is
// a link without a limit.
type link struct {
	// rate is in bytes a second, and backlog the bytes that wait at an instant.
	rate    float64
	backlog float64
	at      time.Time
	sizes   *stat.Sizes
}

// WithLink sets how many bytes a second leave the upstream's instance.
func WithLink(bytesPerSecond float64) Option {
	return func(gt *Gate) { gt.link = link{rate: bytesPerSecond, sizes: stat.NewSizes()} }
}

// sent notes that an answer leaves.
func (li *link) sent(route types.RouteName, size int, now time.Time) {
	if li.rate <= 0 {
		return
	}
	li.sizes.Observe(route, size)
	li.drain(now)
	li.backlog += float64(size)
}

func (li *link) drain(now time.Time) {
	if passed := now.Sub(li.at); passed > 0 {
		li.backlog = max(0, li.backlog-li.rate*passed.Seconds())
		li.at = now
	}
}

// wait estimates how long a large answer of a route takes behind those that
// wait, those of works that run included.
func (li *link) wait(work Work, running map[types.WorkID]*run, now time.Time) time.Duration {
	if li.rate <= 0 || !work.Remote || li.sizes.Usual(work.Route) < largeAnswer {
		return 0
	}
	li.drain(now)
	bytes := li.backlog + float64(li.sizes.Usual(work.Route))
	for _, known := range running {
		if known.work.Remote {
			bytes += float64(li.sizes.Usual(known.work.Route))
		}
	}
	return time.Duration(bytes / li.rate * float64(time.Second))
}
