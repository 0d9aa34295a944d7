package canary

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxTrials and controls are the numbers of upstreams of the new and of the old version
	// whose answers are compared.
	maxTrials = 8
	controls  = 8
	// markInterval is the time between the marks from which on answers are compared, besides
	// those since the order: a version may turn bad later.
	markInterval = 2 * time.Second
	maxMarks     = 3
	// shortestReserve and longestReserve bound the time before the deadline that is kept
	// for the shift, which is else reservePart of the order's time. A version is trusted as
	// late as that allows, as it may be bad only later.
	shortestReserve = 5 * time.Second
	longestReserve  = 15 * time.Second
	reservePart     = 0.25
	// lastShift is the time before the deadline from which on no shift begins.
	lastShift = 2500 * time.Millisecond
	// settleTime is how long nobody must own an old upstream until the shift has ended, and
	// how long the first upstreams of an order's version are waited for.
	settleTime = 300 * time.Millisecond
	// givenUp is how long before the deadline a roll-out whose shift has not ended goes back.
	givenUp = 300 * time.Millisecond
	// neededRoom is the part of the old upstreams' slots that the new ones must have.
	neededRoom = 0.8
	// minorRoute is the part of the service's answers below which a route needs no proof of
	// its own.
	minorRoute = 0.05
	// leastAnswers is how many answers of a version are needed to trust it.
	leastAnswers = 20
)

// Upstream is an upstream of the service that takes work.
type Upstream struct {
	ID    types.InstanceID
	Slots int
}

// View is what a node sees of the upstreams of the service: those of other versions and
// those of the order's version.
type View struct{ Old, New []Upstream }

// Rollout is what one node knows of one order.
type Rollout struct {
	order   Order
	phase   Phase
	reason  string
	aim     float64
	knownAt time.Time
	// phaseAt is when this node learned of the phase.
	phaseAt time.Time
	// sawOld is true once an upstream of another version was seen, and oldGoneAt is since
	// when there is none.
	sawOld    bool
	oldGoneAt time.Time
	tallies   map[types.InstanceID]Tally
	marks     []mark
	// crossed has the upstreams of the new version that were found bad, and why.
	crossed map[types.InstanceID]string
	bad     string
}

// mark holds the tallies of an earlier time.
type mark struct {
	at      time.Time
	tallies map[types.InstanceID]Tally
}

// NewRollout returns the roll-out of an order that is in a phase. aim is the share of the
// requests that the version gets on trial.
func NewRollout(order Order, phase Phase, aim float64, now time.Time) *Rollout {
	return &Rollout{
		order: order, phase: phase, aim: aim, knownAt: now, phaseAt: now,
		tallies: map[types.InstanceID]Tally{}, crossed: map[types.InstanceID]string{},
	}
}

// Order returns the order.
func (ro *Rollout) Order() Order { return ro.order }

// Phase returns the phase, and since when this node knows it.
func (ro *Rollout) Phase() (Phase, time.Time) { return ro.phase, ro.phaseAt }

// SawOld reports whether there was an upstream of another version since the order. If there
// was none, nothing is to be moved.
func (ro *Rollout) SawOld() bool { return ro.sawOld }

// Reason says why the roll-out is in its phase, or empty if this node was not told.
func (ro *Rollout) Reason() string { return ro.reason }

// Stopped reports whether nothing may be sent to the version: the roll-out went back, or
// the evidence that this node has speaks against the version. No node waits for a decision
// to stop.
func (ro *Rollout) Stopped() bool { return ro.phase == Back || ro.bad != "" && ro.phase != Done }

// Found returns what speaks against the version, or empty.
func (ro *Rollout) Found() string { return ro.bad }

// Record counts an answer of the upstream of this node.
func (ro *Rollout) Record(key Tally, answer Answer) {
	old := ro.tallies[key.Instance]
	if old.Epoch != key.Epoch || old.Version != key.Version {
		if old.Epoch > key.Epoch {
			return
		}
		old = key
	}
	ro.tallies[key.Instance] = old.with(answer)
}

// Advance moves the roll-out on to a later phase. It returns false if it is there already.
func (ro *Rollout) Advance(phase Phase, reason string, now time.Time) bool {
	if phase <= ro.phase || ro.phase.Final() {
		return false
	}
	ro.phase, ro.reason, ro.phaseAt = phase, reason, now
	if phase.Final() {
		ro.marks = nil
	}
	return true
}

// Observe updates what this node finds of the version by its evidence.
func (ro *Rollout) Observe(view View, now time.Time) {
	if len(view.Old) > 0 {
		ro.sawOld, ro.oldGoneAt = true, time.Time{}
	} else if ro.oldGoneAt.IsZero() {
		ro.oldGoneAt = now
	}
	if ro.phase.Final() || ro.bad != "" {
		return
	}
	for _, since := range ro.windows() {
		ro.compare(since, view)
	}
	if len(ro.marks) == 0 || now.Sub(ro.marks[len(ro.marks)-1].at) >= markInterval {
		ro.marks = append(ro.marks, mark{at: now, tallies: maps.Clone(ro.tallies)})
		ro.marks = ro.marks[max(0, len(ro.marks)-maxMarks):]
	}
}

// windows returns the tallies from which on answers are compared.
func (ro *Rollout) windows() []map[types.InstanceID]Tally {
	windows := []map[types.InstanceID]Tally{nil}
	for _, earlier := range ro.marks {
		windows = append(windows, earlier.tallies)
	}
	return windows
}

// compare compares the answers since an earlier time. A fault of one machine is no fault of
// the version: two upstreams must be found bad by themselves, or one if there are no more,
// or all together without the worst one.
func (ro *Rollout) compare(since map[types.InstanceID]Tally, view View) {
	control := ro.sum(since, func(tally Tally) bool { return tally.Version != ro.order.To })
	var worst types.InstanceID
	highest := math.Inf(-1)
	for _, id := range ro.tallied() {
		found := against(ro.sum(since, func(tally Tally) bool { return tally.Instance == id }), control)
		if found.evidence > highest {
			worst, highest = id, found.evidence
		}
		if found.convincing() && ro.crossed[id] == "" {
			ro.crossed[id] = found.String()
		}
	}
	others := against(ro.sum(since, func(tally Tally) bool { return tally.Version == ro.order.To && tally.Instance != worst }), control)
	switch {
	case others.convincing():
		ro.bad = others.String()
	case len(ro.crossed) > 1, len(ro.crossed) == 1 && len(view.New) == 1 && ro.crossed[view.New[0].ID] != "":
		ro.bad = slices.Max(slices.Collect(maps.Values(ro.crossed)))
	}
}

// Answers returns the answers that this node knows of, and the failures among them, of the
// version or of the others.
func (ro *Rollout) Answers(ours bool) (answers, failures int) {
	sum := ro.sum(nil, func(tally Tally) bool { return (tally.Version == ro.order.To) == ours }).total()
	return int(sum.answers), int(sum.failures)
}

// tallied returns the upstreams of the new version that have answered.
func (ro *Rollout) tallied() []types.InstanceID {
	var ids []types.InstanceID
	for id, tally := range ro.tallies {
		if tally.Version == ro.order.To {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// sum adds up the tallies that match, without what was counted earlier.
func (ro *Rollout) sum(since map[types.InstanceID]Tally, match func(Tally) bool) routeCounts {
	sum := routeCounts{}
	for id, tally := range ro.tallies {
		if !match(tally) {
			continue
		}
		sum.add(tally, 1)
		if earlier, ok := since[id]; ok && earlier.Epoch == tally.Epoch && earlier.Version == tally.Version {
			sum.add(earlier, -1)
		}
	}
	return sum
}

// finding is the strongest evidence that the new version is worse, as a logarithm, and what
// it is of.
type finding struct {
	evidence float64
	route    types.RouteName
	respect  int
	pair     [2]sample
}

func (f finding) convincing() bool { return f.evidence > -math.Log(falseAlarm) }

// String says what speaks against the version.
func (f finding) String() string {
	return fmt.Sprintf("route %s: %s %.0f of %.0f, of other versions %.0f of %.0f",
		f.route, respects[f.respect].name, f.pair[0].hits, f.pair[0].total, f.pair[1].hits, f.pair[1].total)
}

// against returns the strongest evidence of any route.
func against(trial, control routeCounts) finding {
	var strongest finding
	for _, route := range trial.routes() {
		for respect, pair := range comparison(trial.of(route), control.of(route)) {
			if evidence := pair[0].against(pair[1]); evidence > strongest.evidence {
				strongest = finding{evidence: evidence, route: route, respect: respect, pair: pair}
			}
		}
	}
	return strongest
}

// doubt returns what is still in doubt of the version, or empty if its answers rule out that
// it is worse, on all routes together and, at the given rate, on each. Upstreams that were
// found bad by themselves do not count.
func (ro *Rollout) doubt(rate float64) string {
	control := ro.sum(nil, func(tally Tally) bool { return tally.Version != ro.order.To })
	trial := ro.sum(nil, func(tally Tally) bool { return tally.Version == ro.order.To && ro.crossed[tally.Instance] == "" })
	all, allOld := trial.total(), control.total()
	if all.answers < leastAnswers {
		return fmt.Sprintf("%.0f answers of the version are too few", all.answers)
	}
	if doubt := doubtOf(all, allOld, falseTrust); doubt != "" {
		return "all routes: " + doubt
	}
	for _, route := range control.routes() {
		if control.of(route).answers < minorRoute*allOld.answers {
			continue
		}
		if doubt := doubtOf(trial.of(route), control.of(route), rate); doubt != "" {
			return fmt.Sprintf("route %s: %s", route, doubt)
		}
	}
	return ""
}

func doubtOf(trial, control *counts, rate float64) string {
	for respect, pair := range comparison(trial, control) {
		if !pair[0].clears(pair[1], respects[respect].excess, rate) {
			return fmt.Sprintf("%s %.0f of %.0f decide nothing", respects[respect].name, pair[0].hits, pair[0].total)
		}
	}
	return ""
}

// Trials returns the upstreams of the new version that get the requests on trial: so few
// that these load them as in full, and not those that were found bad by themselves.
func (ro *Rollout) Trials(view View) []types.InstanceID {
	wanted := min(max(int(math.Round(ro.aim*float64(len(view.Old)))), 1), maxTrials)
	var trials []types.InstanceID
	for _, id := range ro.ranked(view.New) {
		if ro.crossed[id] == "" && len(trials) < wanted {
			trials = append(trials, id)
		}
	}
	return trials
}

// Controls returns the upstreams of other versions whose answers are compared.
func (ro *Rollout) Controls(view View) []types.InstanceID {
	ranked := ro.ranked(view.Old)
	return ranked[:min(len(ranked), controls)]
}

// ranked orders upstreams in a way that all nodes share.
func (ro *Rollout) ranked(upstreams []Upstream) []types.InstanceID {
	type rank struct {
		hash uint64
		id   types.InstanceID
	}
	ranks := make([]rank, 0, len(upstreams))
	for _, upstream := range upstreams {
		ranks = append(ranks, rank{xxhash.Sum64String(string(upstream.ID)) ^ uint64(ro.order.ID), upstream.ID})
	}
	slices.SortFunc(ranks, func(a, b rank) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) })
	ids := make([]types.InstanceID, 0, len(ranks))
	for _, item := range ranks {
		ids = append(ids, item.id)
	}
	return ids
}
