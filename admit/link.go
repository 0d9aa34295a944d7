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
	// linkHops is the number of links that an answer crosses in sequence: the link
	// of the owner node and that of the entry node, which is assumed to be as fast.
	linkHops = 2
	// linkTimeShare is a fraction of the time left until the soft deadline, or
	// until the deadline if there is no soft deadline. Work with a large answer is
	// admitted only if the answer is expected to arrive within this fraction of
	// that time. The rest is slack, since answer sizes vary several-fold. A higher
	// fraction would lengthen the queue for the link, but not raise the throughput
	// of a link that is always busy.
	linkTimeShare = 0.6
)

// link estimates how long the network link of the upstream's instance takes to
// transfer answers. The zero value is a link of unlimited rate.
type link struct {
	// rate is the capacity in bytes per second; 0 means unlimited.
	rate  float64
	sizes *stat.Sizes
	// pendingRetries estimates how many work items refused because of the link
	// will be retried.
	pendingRetries *retryBacklog
}

// WithLinkBandwidth sets the capacity, in bytes per second, of the network link
// that carries the answers of the upstream's instance.
func WithLinkBandwidth(bytesPerSecond float64) Option {
	return func(ct *Controller) {
		ct.link = link{rate: bytesPerSecond, sizes: stat.NewSizes(), pendingRetries: &retryBacklog{}}
	}
}

// observe records the size in bytes of an answer of a route. It does nothing if
// the link is unlimited.
func (li link) observe(route types.RouteName, size int) {
	if li.rate > 0 {
		li.sizes.Observe(route, size)
	}
}

// transferTime returns how long the link takes to transfer an answer of a
// route's mean size. It returns 0 if the mean size is below largeAnswer or the
// link is unlimited.
func (li link) transferTime(route types.RouteName) time.Duration {
	if li.rate <= 0 || li.sizes.Mean(route) < largeAnswer {
		return 0
	}
	return time.Duration(float64(li.sizes.Mean(route)) / li.rate * float64(time.Second))
}

// linkBacklog returns how long the link needs to send the answers ahead of a new
// work item: those that were already waiting when the item arrived
// (work.LinkWait), and those of all running and queued work.
func (ct *Controller) linkBacklog(work WorkItem) time.Duration {
	backlog := work.LinkWait
	for _, item := range ct.running {
		backlog += ct.link.transferTime(item.work.Route)
	}
	for _, item := range ct.queue {
		backlog += ct.link.transferTime(item.Work.Route)
	}
	return backlog
}

// refuseByLink refuses a work item whose large answer is expected to arrive too
// late, and returns nil for all other work. The answer is sent once the link's
// backlog is sent and the work has run. Work that can no longer meet its soft
// deadline is accepted only if the backlog clears while the work runs and the
// answer is expected to arrive by the deadline.
func (ct *Controller) refuseByLink(item QueueItem, now time.Time) []types.Effect {
	transfer := ct.link.transferTime(item.Work.Route)
	if ct.mode != shedding || transfer == 0 {
		return nil
	}
	backlog := ct.linkBacklog(item.Work)
	end := max(backlog, item.ExpectedDuration) + linkHops*transfer
	left := item.latestStart(now).Add(item.ExpectedDuration).Sub(now)
	spareCapacity := item.missesSoftDeadline(now) && backlog <= item.ExpectedDuration && end <= left
	if spareCapacity || !item.missesSoftDeadline(now) && end <= time.Duration(linkTimeShare*float64(left)) {
		return nil
	}
	err := fault.New(fault.Overloaded, "the answer would take %s with the link", end).
		WithRetryAfter(ct.link.pendingRetries.retryAfter(backlog, transfer, ct.rng, now))
	ct.link.pendingRetries.add()
	return []types.Effect{trace.Count{Counter: trace.WorkShed}, Refuse{Work: item.Work, Err: err}}
}
