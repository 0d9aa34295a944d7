package fakes

import (
	"sync"
	"time"
)

// CallCounts holds the numbers of calls to the object API of a fake Platform.
// A watch counts as a read and as a watch. Calls that fail because the platform
// is down are not counted.
type CallCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Limited is the number of calls refused by the rate limits.
	Limited int64 `json:"limited"`
	// PeakReads and PeakWrites are the highest numbers of calls in one second,
	// including the calls refused by the rate limits.
	PeakReads  int64 `json:"peak-reads"`
	PeakWrites int64 `json:"peak-writes"`
}

// callCounter counts calls in total and in the current second of the clock.
type callCounter struct {
	mu     sync.Mutex
	counts CallCounts
	// second is the current second as a Unix time. readsInSecond and
	// writesInSecond count the calls in that second.
	second         int64
	readsInSecond  int64
	writesInSecond int64
}

// add counts a read or write and reports whether the call exceeds the rate limit.
func (cc *callCounter) add(write bool, now time.Time, faults *Faults) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if second := now.Unix(); second != cc.second {
		cc.second, cc.readsInSecond, cc.writesInSecond = second, 0, 0
	}
	total, inSecond, peak, limit := &cc.counts.Reads, &cc.readsInSecond, &cc.counts.PeakReads, faults.ReadLimit
	if write {
		total, inSecond, peak, limit = &cc.counts.Writes, &cc.writesInSecond, &cc.counts.PeakWrites, faults.WriteLimit
	}
	*total++
	*inSecond++
	*peak = max(*peak, *inSecond)
	if limit != 0 && *inSecond > limit {
		cc.counts.Limited++
		return true
	}
	return false
}

// addWatch counts a new watch and returns its number, starting at 1.
func (cc *callCounter) addWatch() int64 {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.counts.Watches++
	return cc.counts.Watches
}

func (cc *callCounter) snapshot() CallCounts {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.counts
}
