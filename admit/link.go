package admit

import (
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// largeAnswer is the size in bytes from which the time that an answer takes
	// on the link counts.
	largeAnswer = 16 << 10
	// legs is the number of links that an answer crosses one after the other:
	// that of the owner and that of the entry, which is taken to be like it.
	legs = 2
	// linkShare is the part of the time left within which an answer must be
	// expected to arrive. A link that is always busy carries no more with a
	// longer queue, and the sizes of answers differ by several times.
	linkShare = 0.6
)

// link estimates how long answers take to leave the instance. The zero value is
// a link without a limit.
type link struct {
	// rate is in bytes a second.
	rate  float64
	sizes *stat.Sizes
	// returning are the refused works that are to come back for the link.
	returning *returns
}

// WithLink sets how many bytes of answers leave the upstream's instance in a
// second.
func WithLink(bytesPerSecond float64) Option {
	return func(gt *Gate) { gt.link = link{rate: bytesPerSecond, sizes: stat.NewSizes(), returning: &returns{}} }
}

// observe notes the size of an answer.
func (li link) observe(route types.RouteName, size int) {
	if li.rate > 0 {
		li.sizes.Observe(route, size)
	}
}

// large returns the time that an answer of a route takes on the link, or 0 if
// it is small.
func (li link) large(route types.RouteName) time.Duration {
	if li.rate <= 0 || li.sizes.Usual(route) < largeAnswer {
		return 0
	}
	return time.Duration(float64(li.sizes.Usual(route)) / li.rate * float64(time.Second))
}

// linkBusy returns the time that the link needs for what waits for it and for
// the answers of works taken before.
func (gt *Gate) linkBusy(work Work) time.Duration {
	busy := work.LinkWait
	for _, known := range gt.running {
		busy += gt.link.large(known.work.Route)
	}
	for _, known := range gt.queue {
		busy += gt.link.large(known.Work.Route)
	}
	return busy
}

// refuseByLink refuses a work with a large answer that would arrive too late: it
// leaves after those before it, but not before its own work has ended. Work that
// can't meet its aim any more takes the link only while nothing else needs it.
func (gt *Gate) refuseByLink(waiting Waiting, now time.Time) []types.Effect {
	own := gt.link.large(waiting.Work.Route)
	if gt.mode != shedding || own == 0 {
		return nil
	}
	busy := gt.linkBusy(waiting.Work)
	end := max(busy, waiting.Expected) + legs*own
	left := waiting.until(now).Add(waiting.Expected).Sub(now)
	idle := waiting.late(now) && busy <= waiting.Expected && end <= left
	if idle || !waiting.late(now) && end <= time.Duration(linkShare*float64(left)) {
		return nil
	}
	err := fault.New(fault.Overloaded, "the answer would take %s with the link", end).
		WithRetryAfter(gt.link.returning.wait(busy, own, gt.source, now))
	gt.link.returning.add()
	return []types.Effect{trace.Count{Counter: trace.WorkShed}, Refuse{Work: waiting.Work, Err: err}}
}
