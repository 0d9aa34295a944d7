package canary

import (
	"fmt"
	"time"
)

// TrustAt returns the time from which on the version may be trusted.
func (o Order) TrustAt() time.Time { return o.Deadline.Add(-o.reserve()) }

// truncateAt returns the time from which on the likelier of good and bad is taken.
func (o Order) truncateAt() time.Time {
	const part = 4
	return o.TrustAt().Add(o.reserve() / part)
}

// reserve returns the time before the deadline that is kept for the shift.
func (o Order) reserve() time.Duration {
	part := time.Duration(reservePart * float64(o.Deadline.Sub(o.Start)))
	return min(max(part, shortestReserve), longestReserve)
}

// Next returns the phase that the roll-out must go to now, and why. It is the present phase
// if nothing changes.
func (ro *Rollout) Next(view View, now time.Time) (Phase, string) {
	switch {
	case ro.phase.Final():
		return ro.phase, ""
	case ro.bad != "":
		return Back, ro.bad
	case ro.phase == Trial:
		return ro.afterTrial(view, now)
	default:
		return ro.afterShift(view, now)
	}
}

func (ro *Rollout) afterTrial(view View, now time.Time) (Phase, string) {
	order := ro.order
	late := !now.Before(order.Deadline.Add(-lastShift))
	switch {
	case !ro.sawOld && len(view.New) > 0 && now.Sub(ro.knownAt) >= settleTime:
		return Done, "no upstream runs another version"
	case len(view.New) == 0 && late:
		return Back, fmt.Sprintf("no upstream runs version %s", order.To)
	case now.Before(order.TrustAt()) || len(view.New) == 0:
		return Trial, ""
	}
	rate := falseTrust
	if !now.Before(order.truncateAt()) {
		rate = lateTrust
	}
	doubt := ro.doubt(rate)
	if doubt == "" && room(view.New) < neededRoom*room(view.Old) {
		doubt = fmt.Sprintf("%.0f slots of the version can't take the work of %.0f", room(view.New), room(view.Old))
	}
	switch {
	case doubt == "" && !late:
		return Shifting, "the version is as good as the others"
	case doubt == "":
		return Back, "found good too late for the shift"
	case late:
		return Back, "in doubt at the deadline: " + doubt
	default:
		return Trial, ""
	}
}

func (ro *Rollout) afterShift(view View, now time.Time) (Phase, string) {
	switch {
	case len(view.New) == 0 && len(view.Old) > 0:
		return Back, "no upstream of the version is left"
	case len(view.New) > 0 && !ro.oldGoneAt.IsZero() && now.Sub(ro.oldGoneAt) >= settleTime:
		return Done, "the work of the other versions has ended"
	case !now.Before(ro.order.Deadline.Add(-givenUp)):
		return Back, fmt.Sprintf("%d upstreams of other versions still run work at the deadline", len(view.Old))
	default:
		return Shifting, ""
	}
}

func room(upstreams []Upstream) float64 {
	var slots int
	for _, upstream := range upstreams {
		slots += upstream.Slots
	}
	return float64(slots)
}
