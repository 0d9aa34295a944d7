// Package blame finds the requests that end the processes of the upstreams which run
// them, so that they can be held back. Its evidence is what ran at each upstream that
// ended: the nodes exchange these records, called crashes, and all nodes with the same
// records come to the same result. It answers for no load, but for the few requests
// that take the upstreams away from all others.
//
// Having run at a crash proves nothing. A request is held back once it alone explains
// several crashes, at more than one instance and one after the other, and no upstream
// has run it to its end since. One that explains crashes at the same time is on trial,
// as is one whose hold has ended: one instance at a time runs it, one run at a time.
//
// # Usage
//
//	ledger := blame.NewLedger("kolkata-1")
//	changes := ledger.RecordCrash(runs, endedAt, now)
//	changes = ledger.RecordFinished(content, now)
//	if hold, ok := ledger.Held(content, now); ok { ... }
//	changes = ledger.Merge(report, now)
package blame

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// firstHold is how long after its latest crash a request is held back. It may run
	// again then, as the cause may have been a fault of the upstreams that is mended.
	// Each further crash after a hold doubles the time, up to longestHold.
	firstHold   = time.Minute
	longestHold = 16 * time.Minute
	// retention is how long a crash is remembered.
	retention = time.Hour
	// maxCrashes, maxClears and maxFinished bound the records of a ledger.
	maxCrashes  = 128
	maxClears   = 256
	maxFinished = 1024
	// MaxRuns is the maximum number of runs in a crash.
	MaxRuns = 64
)

// Run is a request that ran when an upstream's process ended.
type Run struct {
	Content types.ContentHash
	// Elapsed is how long it had run.
	Elapsed time.Duration
}

// crashID identifies a crash: the node that saw it and a number that is higher for
// later crashes at that node.
type crashID struct {
	source types.InstanceID
	number uint64
}

func (id crashID) hash() uint64 { return hashOf(string(id.source), id.number) }

type crash struct {
	endedAt time.Time
	// learnedAt is when this node learned of the crash.
	learnedAt time.Time
	runs      []Run
}

// clearance says that a request has run to its end, or that an operator vouches for it.
// Crashes up to that time do not count against it.
type clearance struct {
	id        crashID
	at        time.Time
	learnedAt time.Time
}

// Hold says why a request is held back, from when and until when.
type Hold struct {
	Content types.ContentHash
	// Crashes is the number of crashes that the request explains, at Instances
	// instances.
	Crashes   int
	Instances int
	From      time.Time
	Until     time.Time
}

func (h Hold) inForce(now time.Time) bool { return !now.Before(h.From) && now.Before(h.Until) }

// Ledger holds the evidence that one node knows. It is not safe for concurrent use.
type Ledger struct {
	self    types.InstanceID
	crashes map[crashID]crash
	clears  map[types.ContentHash]clearance
	// implicated counts the crashes at which a request ran.
	implicated map[types.ContentHash]int
	finished   finishedRuns
	verdicts   verdicts
	// suspectedSince is when this node began to suspect a request.
	suspectedSince map[types.ContentHash]time.Time
	// announced are the requests that Tick reported as held back.
	announced map[types.ContentHash]bool
	hash      uint64
	number    uint64
	oldest    time.Time
}

// NewLedger returns a ledger without evidence for the given node.
func NewLedger(self types.InstanceID) *Ledger {
	return &Ledger{
		self: self, crashes: map[crashID]crash{}, clears: map[types.ContentHash]clearance{}, implicated: map[types.ContentHash]int{},
		announced: map[types.ContentHash]bool{},
		finished:  newFinishedRuns(maxFinished),
	}
}

// RecordCrash records that the upstream of this node ended at a time while it ran the
// given requests. It returns the changes of what is held back.
func (ld *Ledger) RecordCrash(runs []Run, endedAt, now time.Time) Changes {
	runs = knownRuns(runs)
	if len(runs) == 0 {
		return Changes{}
	}
	ld.addCrash(crashID{source: ld.self, number: ld.nextNumber(now)}, crash{endedAt: endedAt, learnedAt: now, runs: runs})
	return ld.update(now)
}

// RecordFinished records that an upstream of this node has run a request to its end.
func (ld *Ledger) RecordFinished(content types.ContentHash, now time.Time) Changes {
	ld.finished.add(content, now)
	if ld.implicated[content] < minImplicated || !ld.clearByFinished(content, now) {
		return Changes{}
	}
	return ld.update(now)
}

// Lift clears a request by an operator's word. It returns false if the request is not
// held back.
func (ld *Ledger) Lift(content types.ContentHash, now time.Time) (Changes, bool) {
	if _, ok := ld.Held(content, now); !ok {
		return Changes{}, false
	}
	ld.addClear(content, ld.newClearance(content, now, now))
	return ld.update(now), true
}

// Held returns the hold of a request, or false if it may run.
func (ld *Ledger) Held(content types.ContentHash, now time.Time) (Hold, bool) {
	hold, ok := ld.verdicts.held[content]
	return hold, ok && hold.inForce(now)
}

// Holds returns the holds in force, ordered by content.
func (ld *Ledger) Holds(now time.Time) []Hold {
	var holds []Hold
	for _, hold := range ld.verdicts.held {
		if hold.inForce(now) {
			holds = append(holds, hold)
		}
	}
	slices.SortFunc(holds, func(a, b Hold) int { return cmp.Compare(a.Content, b.Content) })
	return holds
}

// Undecided reports whether there are requests that have rivals.
func (ld *Ledger) Undecided() bool { return len(ld.verdicts.tied) > 0 }

// Rivals reports whether two requests explain the same crashes equally well. Only a run
// of one without the other can tell which of them ends upstreams.
func (ld *Ledger) Rivals(a, b types.ContentHash) bool {
	return a != b && ld.verdicts.tied[a] && ld.verdicts.tied[b]
}

// expire removes evidence that is too old.
func (ld *Ledger) expire(now time.Time) {
	if ld.oldest.IsZero() || now.Sub(ld.oldest) <= retention {
		return
	}
	for id, record := range ld.crashes {
		if now.Sub(record.endedAt) > retention {
			ld.removeCrash(id)
		}
	}
	for content, record := range ld.clears {
		if now.Sub(record.at) > retention {
			ld.removeClear(content)
		}
	}
	ld.noteOldest()
	ld.update(now)
}

func (ld *Ledger) nextNumber(now time.Time) uint64 {
	ld.number = max(ld.number+1, uint64(now.UnixMicro()))
	return ld.number
}

func (ld *Ledger) addCrash(id crashID, record crash) {
	ld.crashes[id] = record
	ld.hash ^= id.hash()
	for _, run := range record.runs {
		ld.implicated[run.Content]++
	}
	if len(ld.crashes) > maxCrashes {
		ld.removeCrash(ld.oldestCrash())
	}
	ld.noteOldest()
}

func (ld *Ledger) removeCrash(id crashID) {
	for _, run := range ld.crashes[id].runs {
		if ld.implicated[run.Content]--; ld.implicated[run.Content] <= 0 {
			delete(ld.implicated, run.Content)
		}
	}
	delete(ld.crashes, id)
	ld.hash ^= id.hash()
}

func (ld *Ledger) oldestCrash() crashID {
	return slices.MinFunc(slices.Collect(maps.Keys(ld.crashes)), func(a, b crashID) int {
		return cmp.Or(ld.crashes[a].endedAt.Compare(ld.crashes[b].endedAt), cmp.Compare(a.hash(), b.hash()))
	})
}

// newClearance clears a request of the crashes up to a time. Its number is above that of
// the request's earlier clear, whatever the clock of that node was.
func (ld *Ledger) newClearance(content types.ContentHash, at, now time.Time) clearance {
	number := max(ld.nextNumber(now), ld.clears[content].id.number+1)
	return clearance{id: crashID{source: ld.self, number: number}, at: at, learnedAt: now}
}

// addClear records a clear. Of two clears of one request, the one with the higher number
// is kept, with the later time.
func (ld *Ledger) addClear(content types.ContentHash, record clearance) {
	if old, ok := ld.clears[content]; ok {
		if old.at.After(record.at) {
			record.at = old.at
		}
		ld.removeClear(content)
	}
	ld.clears[content] = record
	ld.hash ^= hashOf(content.String(), record.id.hash())
	if len(ld.clears) > maxClears {
		ld.removeClear(slices.MinFunc(slices.Collect(maps.Keys(ld.clears)), func(a, b types.ContentHash) int {
			return cmp.Or(ld.clears[a].at.Compare(ld.clears[b].at), cmp.Compare(a, b))
		}))
	}
	ld.noteOldest()
}

func (ld *Ledger) removeClear(content types.ContentHash) {
	ld.hash ^= hashOf(content.String(), ld.clears[content].id.hash())
	delete(ld.clears, content)
}

// clearByFinished clears a request of the crashes up to its latest run to the end at this
// node. It reports whether there were such crashes.
func (ld *Ledger) clearByFinished(content types.ContentHash, now time.Time) bool {
	at, ok := ld.finished.latest(content)
	if !ok {
		return false
	}
	for _, record := range ld.crashes {
		if !record.endedAt.After(at) && record.endedAt.After(ld.clears[content].at) && record.ran(content) {
			ld.addClear(content, ld.newClearance(content, at, now))
			return true
		}
	}
	return false
}

func (ld *Ledger) noteOldest() {
	ld.oldest = time.Time{}
	for _, record := range ld.crashes {
		ld.oldest = earlier(ld.oldest, record.endedAt)
	}
	for _, record := range ld.clears {
		ld.oldest = earlier(ld.oldest, record.at)
	}
}

func (cr crash) ran(content types.ContentHash) bool {
	return slices.ContainsFunc(cr.runs, func(run Run) bool { return run.Content == content })
}

// knownRuns returns the latest runs of each request whose content is known, at most
// MaxRuns.
func knownRuns(runs []Run) []Run {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Elapsed, b.Elapsed), cmp.Compare(a.Content, b.Content))
	})
	var known []Run
	for _, run := range sorted {
		if run.Content != 0 && len(known) < MaxRuns && !(crash{runs: known}).ran(run.Content) {
			known = append(known, run)
		}
	}
	return known
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func hashOf(text string, number uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(text), number))
}
