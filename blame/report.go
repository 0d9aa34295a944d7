package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// freshTime is how long after a node has learned of evidence it sends it along
	// with each message.
	freshTime = 3 * time.Second
	// MaxReported bounds the crashes, and the clears, in one report.
	MaxReported = 64
)

// CrashReport is a crash as nodes tell each other of it. Its age is counted from the
// moment of sending, so that no two clocks are compared.
type CrashReport struct {
	Source types.InstanceID
	Number uint64
	Age    time.Duration
	Runs   []Run
}

// ClearReport says that a request was cleared.
type ClearReport struct {
	Content types.ContentHash
	Source  types.InstanceID
	Number  uint64
	Age     time.Duration
}

// Report is evidence that one node sends to another. Hash is the hash of all that the
// sender knows.
type Report struct {
	Hash    uint64
	Crashes []CrashReport
	Clears  []ClearReport
}

// Fresh returns a report of the evidence that this node has learned of lately.
func (ld *Ledger) Fresh(now time.Time) Report {
	return ld.report(now, func(learnedAt time.Time) bool { return now.Sub(learnedAt) < freshTime })
}

// Full returns a report of all evidence, as far as it fits.
func (ld *Ledger) Full(now time.Time) Report {
	return ld.report(now, func(time.Time) bool { return true })
}

// Hash returns the hash of all evidence. It is 0 if there is none.
func (ld *Ledger) Hash() uint64 { return ld.hash }

func (ld *Ledger) report(now time.Time, include func(learnedAt time.Time) bool) Report {
	report := Report{Hash: ld.hash}
	if len(ld.crashes) == 0 && len(ld.clears) == 0 {
		return report
	}
	for _, id := range ld.byWeight() {
		record := ld.crashes[id]
		if include(record.learnedAt) && len(report.Crashes) < MaxReported {
			report.Crashes = append(report.Crashes, CrashReport{Source: id.source, Number: id.number, Age: now.Sub(record.endedAt), Runs: record.runs})
		}
	}
	contents := slices.Collect(maps.Keys(ld.clears))
	slices.SortFunc(contents, func(a, b types.ContentHash) int {
		return cmp.Or(ld.clears[b].at.Compare(ld.clears[a].at), cmp.Compare(a, b))
	})
	for _, content := range contents {
		record := ld.clears[content]
		if include(record.learnedAt) && len(report.Clears) < MaxReported {
			report.Clears = append(report.Clears, ClearReport{Content: content, Source: record.id.source, Number: record.id.number, Age: now.Sub(record.at)})
		}
	}
	return report
}

// byWeight returns the crashes in the order in which they matter: first those for which
// a request is held back, then the latest.
func (ld *Ledger) byWeight() []crashID {
	weight := func(id crashID) int {
		for content := range ld.verdicts.held {
			if ld.crashes[id].ran(content) {
				return 0
			}
		}
		return 1
	}
	ids := slices.Collect(maps.Keys(ld.crashes))
	slices.SortFunc(ids, func(a, b crashID) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), ld.crashes[b].endedAt.Compare(ld.crashes[a].endedAt), cmp.Compare(a.hash(), b.hash()))
	})
	return ids
}

// Merge adds the evidence of another node. It returns the changes of what is held back;
// News is true if the report told anything new.
func (ld *Ledger) Merge(report Report, now time.Time) Changes {
	news := false
	for _, told := range report.Crashes {
		news = ld.mergeCrash(told, now) || news
	}
	for _, told := range report.Clears {
		news = ld.mergeClear(told, now) || news
	}
	if !news {
		return Changes{}
	}
	return ld.update(now)
}

func (ld *Ledger) mergeCrash(told CrashReport, now time.Time) bool {
	id := crashID{source: told.Source, number: told.Number}
	if _, known := ld.crashes[id]; known || told.Age > retention || len(told.Runs) == 0 {
		return false
	}
	endedAt := now.Add(-told.Age)
	if len(ld.crashes) >= maxCrashes && endedAt.Before(ld.crashes[ld.oldestCrash()].endedAt) {
		return false
	}
	ld.addCrash(id, crash{endedAt: endedAt, learnedAt: now, runs: knownRuns(told.Runs)})
	return true
}

func (ld *Ledger) mergeClear(told ClearReport, now time.Time) bool {
	id := crashID{source: told.Source, number: told.Number}
	old, known := ld.clears[told.Content]
	if told.Age > retention || known && !id.follows(old.id) {
		return false
	}
	ld.addClear(told.Content, clearance{id: id, at: now.Add(-told.Age), learnedAt: now})
	return true
}

// follows orders the clears of one request.
func (id crashID) follows(other crashID) bool {
	return cmp.Or(cmp.Compare(id.number, other.number), cmp.Compare(id.source, other.source)) > 0
}
