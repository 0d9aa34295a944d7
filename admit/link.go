package admit

import (
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// largeAnswer is the size in bytes from which an answer's transfer time is
	// taken into account.
	largeAnswer = 16 << 10
	// linkHops is the number of links that an answer crosses in sequence: that of
	// the owner node and that of the entry node, which is assumed to be as fast.
	linkHops = 2
	// linkTimeShare is the fraction of the remaining time within which a large
	// answer must be expected to arrive. The rest is slack, since answer sizes
	// vary several-fold. A longer queue would not raise the throughput of a link
	// that is always busy.
	linkTimeShare = 0.6
)

// link estimates how long answers take on the network link of the upstream's
// instance. The zero value is a link of unlimited rate.
type link struct {
	// rate is the capacity in bytes per second; 0 means unlimited.
	rate  float64
	sizes *stat.Sizes
	// pendingRetries estimates how many work items refused because of the link
	// will be retried.
	pendingRetries *retryBacklog
}

// WithLink sets the capacity, in bytes per second, of the network link that
// carries the answers of the upstream's instance.
func WithLink(bytesPerSecond float64) Option {
	return func(gt *Gate) {
		gt.link = link{rate: bytesPerSecond, sizes: stat.NewSizes(), pendingRetries: &retryBacklog{}}
	}
}

// observe records the size in bytes of an answer of a route.
func (li link) observe(route types.RouteName, size int) {
	if li.rate > 0 {
		li.sizes.Observe(route, size)
	}
}

// transferTime returns how long a usual answer of a route takes on the link, or
// 0 if the answer is below largeAnswer or the link is unlimited.
func (li link) transferTime(route types.RouteName) time.Duration {
	if li.rate <= 0 || li.sizes.Usual(route) < largeAnswer {
		return 0
	}
	return time.Duration(float64(li.sizes.Usual(route)) / li.rate * float64(time.Second))
}

// linkBacklog returns how long the link needs to send the answers that wait for
// it when work arrives and those of all running and queued work.
func (gt *Gate) linkBacklog(work Work) time.Duration {
	backlog := work.LinkWait
	for _, item := range gt.running {
		backlog += gt.link.transferTime(item.work.Route)
	}
	for _, item := range gt.queue {
		backlog += gt.link.transferTime(item.Work.Route)
	}
	return backlog
}

// refuseByLink refuses a work item whose large answer is expected to arrive too
// late, and returns nil for all other work. The answer is sent once the link's
// backlog is sent and the work has run. Work that can no longer meet its aim is
// accepted only if the backlog clears while the work runs.
func (gt *Gate) refuseByLink(waiting Waiting, now time.Time) []types.Effect {
	transfer := gt.link.transferTime(waiting.Work.Route)
	if gt.mode != shedding || transfer == 0 {
		return nil
	}
	backlog := gt.linkBacklog(waiting.Work)
	end := max(backlog, waiting.Expected) + linkHops*transfer
	left := waiting.latestStart(now).Add(waiting.Expected).Sub(now)
	spareCapacity := waiting.missesAim(now) && backlog <= waiting.Expected && end <= left
	if spareCapacity || !waiting.missesAim(now) && end <= time.Duration(linkTimeShare*float64(left)) {
		return nil
	}
	err := fault.New(fault.Overloaded, "the answer would take %s with the link", end).
		WithRetryAfter(gt.link.pendingRetries.retryAfter(backlog, transfer, gt.rng, now))
	gt.link.pendingRetries.add()
	return []types.Effect{trace.Count{Counter: trace.WorkShed}, Refuse{Work: waiting.Work, Err: err}}
}
