package admit

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	defaultDuration = 10 * time.Millisecond
	meanWeight      = 0.05
	// longFactor is the multiple of the usual duration of all work from which
	// a route's work is long.
	longFactor = 8
	// stragglerFactor is the multiple of its route's usual duration after
	// which a running work is a straggler.
	stragglerFactor = 4
	// longShare is the share of the slots that long work may hold while short
	// work arrives.
	longShare = 0.5
	// shortInterval is how long slots are kept free of long work after the
	// last arrival of short work.
	shortInterval = time.Second
)

// learn takes the duration of an ended work into the estimates.
func (gt *Gate) learn(ended *run, elapsed time.Duration, now time.Time) {
	gt.durations.Observe(ended.work.Route, elapsed, now)
	if !ended.long {
		sample := min(elapsed, stragglerFactor*gt.mean)
		gt.mean += time.Duration(meanWeight * float64(sample-gt.mean))
	}
}

func (gt *Gate) isLong(route types.RouteName) bool {
	usual, known := gt.durations.Usual(route)
	overall, _ := gt.durations.Overall()
	return known && usual >= longFactor*overall
}

// mayRun reports whether a free slot may be given to a work: long work leaves
// slots to the short work that arrives.
func (gt *Gate) mayRun(waiting Waiting, now time.Time) bool {
	if gt.mode != shedding || !waiting.Long || now.Sub(gt.shortSeen) > shortInterval {
		return true
	}
	return gt.held(now) < gt.longSlots()
}

func (gt *Gate) longSlots() int { return max(1, int(longShare*float64(gt.slots))) }

// held counts the slots that long work and stragglers hold.
func (gt *Gate) held(now time.Time) int {
	held := 0
	for _, known := range gt.running {
		if known.long || now.Sub(known.began) > stragglerFactor*known.expected {
			held++
		}
	}
	return held
}

// wait estimates how long a work waits behind a number of others.
func (gt *Gate) wait(waiting Waiting, ahead int, now time.Time) time.Duration {
	if waiting.Long {
		return waiting.Expected * time.Duration(ahead+1) / time.Duration(gt.longSlots())
	}
	quick := gt.slots - gt.held(now)
	if quick > 0 {
		return gt.mean * time.Duration(ahead+1) / time.Duration(quick)
	}
	return gt.soonest(now) + gt.mean*time.Duration(ahead)/time.Duration(max(gt.slots, 1))
}

// soonest estimates when the first of the running works ends. What has run
// past its usual time is taken to run as long again.
func (gt *Gate) soonest(now time.Time) time.Duration {
	soonest := maximumWait
	for _, known := range gt.running {
		age := now.Sub(known.began)
		left := known.expected - age
		if left <= 0 {
			left = age
		}
		soonest = min(soonest, left)
	}
	return soonest
}
