package fakes

import (
	"sync"
	"time"
)

// Counts are the calls that a platform stand-in took.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Limited are the calls that were refused for their rate.
	Limited int64 `json:"limited"`
	// PeakReads and PeakWrites are the most calls in one second.
	PeakReads  int64 `json:"peak-reads"`
	PeakWrites int64 `json:"peak-writes"`
}

// callMeter counts calls, also within each second of the clock.
type callMeter struct {
	mu     sync.Mutex
	counts Counts
	second int64
	reads  int64
	writes int64
}

// add counts a call and reports whether it is beyond the limits.
func (cm *callMeter) add(write bool, now time.Time, faults *Faults) bool {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	if second := now.Unix(); second != cm.second {
		cm.second, cm.reads, cm.writes = second, 0, 0
	}
	total, within, peak, limit := &cm.counts.Reads, &cm.reads, &cm.counts.PeakReads, faults.ReadLimit
	if write {
		total, within, peak, limit = &cm.counts.Writes, &cm.writes, &cm.counts.PeakWrites, faults.WriteLimit
	}
	*total++
	*within++
	*peak = max(*peak, *within)
	if limit != 0 && *within > limit {
		cm.counts.Limited++
		return true
	}
	return false
}

// watch counts a watch and returns its number.
func (cm *callMeter) watch() int64 {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	cm.counts.Watches++
	return cm.counts.Watches
}

func (cm *callMeter) read() Counts {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	return cm.counts
}
