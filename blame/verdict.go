package blame

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// minCrashes is the number of crashes that a request must explain to be held
	// back, and minInstances that of the instances at which they were. A request
	// whose upstreams are all at one instance needs minCrashesAlone: the upstream may
	// end by itself, whatever it runs.
	minCrashes      = 3
	minInstances    = 2
	minCrashesAlone = 6
	// minImplicated is the number of crashes from which other nodes are told that a
	// request has run to its end.
	minImplicated = 2
	// minGap is the time between a crash and the beginning of a run that ends with
	// another one, from which they count as one after the other. It is also the time
	// after the latest crash in which a suspected request is not tried again.
	minGap = time.Second
	// confirmTime is the time between the crash that makes a request suspected and the
	// first refusal, in which other nodes may tell that the request has run to its end.
	confirmTime = 100 * time.Millisecond
)

// Changes says what an event changed.
type Changes struct {
	// Held are the requests that are held back from now on, Released those that no
	// longer are.
	Held     []Hold
	Released []types.ContentHash
	// News is true if other nodes may not know the evidence yet.
	News bool
}

// verdicts is the result of the evidence.
type verdicts struct {
	held map[types.ContentHash]Hold
	// suspected are the requests that alone explain crashes which may have had another
	// cause, as they were at the same time. They wait until the end of their hold and
	// are on trial then.
	suspected map[types.ContentHash]Hold
	// tied are the requests that other requests explain the same crashes as well as.
	tied map[types.ContentHash]bool
}

// update judges all requests again after the evidence has changed.
func (ld *Ledger) update(now time.Time) Changes {
	for content, count := range ld.implicated {
		if count >= minImplicated {
			ld.clearByFinished(content, now)
		}
	}
	ld.verdicts = ld.judge(now)
	return Changes{News: true}
}

// Tick removes evidence that is too old and returns which holds have begun or ended
// since the last tick.
func (ld *Ledger) Tick(now time.Time) Changes {
	ld.expire(now)
	var changes Changes
	for content, hold := range ld.verdicts.held {
		if hold.inForce(now) && !ld.announced[content] {
			ld.announced[content] = true
			changes.Held = append(changes.Held, hold)
		}
	}
	for content := range ld.announced {
		if !ld.verdicts.held[content].inForce(now) {
			delete(ld.announced, content)
			changes.Released = append(changes.Released, content)
		}
	}
	return changes
}

// suspect is what speaks against one request.
type suspect struct {
	// count is the number of crashes at which it ran since it was last cleared.
	count int
	// top are those at which no other request has a higher count, and alone those at
	// which all others have lower counts.
	top, alone []suspectRun
}

// suspectRun is a run of a suspect that ended with a crash.
type suspectRun struct {
	source    types.InstanceID
	startedAt time.Time
	endedAt   time.Time
}

// judge explains each crash by the requests that ran at the most crashes.
func (ld *Ledger) judge(now time.Time) verdicts {
	suspects := map[types.ContentHash]*suspect{}
	for _, record := range ld.crashes {
		for _, run := range ld.counted(record) {
			if suspects[run.Content] == nil {
				suspects[run.Content] = &suspect{}
			}
			suspects[run.Content].count++
		}
	}
	for id, record := range ld.crashes {
		ld.explain(id, record, suspects)
	}
	result := verdicts{held: map[types.ContentHash]Hold{}, suspected: map[types.ContentHash]Hold{}, tied: map[types.ContentHash]bool{}}
	since := map[types.ContentHash]time.Time{}
	for content, su := range suspects {
		if !enough(su.alone) && enough(su.top) {
			result.tied[content] = true
		}
		if !enough(su.alone) {
			continue
		}
		since[content] = now
		if before, ok := ld.suspectedSince[content]; ok {
			since[content] = before
		}
		if inSeries(su.alone) {
			result.held[content] = newHold(content, su.alone, since[content], holdTime(su.alone))
		} else {
			result.suspected[content] = newHold(content, su.alone, since[content], minGap)
		}
	}
	ld.suspectedSince = since
	return result
}

// counted returns the runs of a crash whose requests have not been cleared since.
func (ld *Ledger) counted(record crash) []Run {
	var counted []Run
	for _, run := range record.runs {
		if record.endedAt.After(ld.clears[run.Content].at) {
			counted = append(counted, run)
		}
	}
	return counted
}

func (ld *Ledger) explain(id crashID, record crash, suspects map[types.ContentHash]*suspect) {
	runs := ld.counted(record)
	highest := 0
	for _, run := range runs {
		highest = max(highest, suspects[run.Content].count)
	}
	top := slices.DeleteFunc(runs, func(run Run) bool { return suspects[run.Content].count < highest })
	for _, run := range top {
		su := suspects[run.Content]
		ended := suspectRun{source: id.source, startedAt: record.endedAt.Add(-run.Elapsed), endedAt: record.endedAt}
		su.top = append(su.top, ended)
		if len(top) == 1 {
			su.alone = append(su.alone, ended)
		}
	}
}

// enough reports whether crashes are enough to suspect the request that ran at them.
func enough(runs []suspectRun) bool {
	return len(runs) >= minCrashes && (countSources(runs) >= minInstances || len(runs) >= minCrashesAlone)
}

// inSeries reports whether crashes were one after the other. Upstreams that end at the
// same time may have a common cause, also if a request that was lost at one was tried
// again at the next before that one ended.
func inSeries(runs []suspectRun) bool {
	firstEnd, lastStart := runs[0].endedAt, runs[0].startedAt
	for _, run := range runs {
		firstEnd = earlier(firstEnd, run.endedAt)
		lastStart = later(lastStart, run.startedAt)
	}
	return lastStart.Sub(firstEnd) >= minGap
}

func newHold(content types.ContentHash, runs []suspectRun, since time.Time, length time.Duration) Hold {
	var latest time.Time
	for _, run := range runs {
		latest = later(latest, run.endedAt)
	}
	return Hold{Content: content, Crashes: len(runs), Instances: countSources(runs), From: since.Add(confirmTime), Until: latest.Add(length)}
}

// holdTime returns how long a request is held back that ran at the given crashes, some of
// them after earlier holds.
func holdTime(runs []suspectRun) time.Duration {
	ends := make([]time.Time, 0, len(runs))
	for _, run := range runs {
		ends = append(ends, run.endedAt)
	}
	slices.SortFunc(ends, time.Time.Compare)
	hold := firstHold
	for i := 1; i < len(ends); i++ {
		if ends[i].Sub(ends[i-1]) >= firstHold && hold < longestHold {
			hold *= 2
		}
	}
	return hold
}

func countSources(runs []suspectRun) int {
	sources := map[types.InstanceID]bool{}
	for _, run := range runs {
		sources[run.source] = true
	}
	return len(sources)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
