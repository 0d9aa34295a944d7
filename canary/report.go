package canary

import (
	"maps"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// MaxReports is the maximum number of orders that one message reports.
const MaxReports = 16

// deadlineSlack is by how much a reported deadline must be earlier to be taken over. Ages are
// rounded at each hop.
const deadlineSlack = 50 * time.Millisecond

// Report is what a node tells others of an order. Times are ages, as clocks differ.
type Report struct {
	ID       OrderID
	Service  types.ServiceName
	To       types.UpstreamVersion
	Sequence int64
	// Age is the time since the start, and Left that until the deadline.
	Age     time.Duration
	Left    time.Duration
	Phase   Phase
	Reason  string
	Tallies []Tally
	// Crossed has the upstreams of the version that were found bad by themselves, and Found
	// what speaks against the version, or empty. Nodes that stop sending to a version get no
	// more evidence, so what one has found holds for all.
	Crossed []types.InstanceID
	Found   string
}

// Report returns what this node knows. It has the tallies of the compared upstreams only,
// and none once the roll-out has ended.
func (ro *Rollout) Report(view View, now time.Time) Report {
	report := Report{
		ID: ro.order.ID, Service: ro.order.Service, To: ro.order.To, Sequence: ro.order.Sequence,
		Age: now.Sub(ro.order.Start), Left: ro.order.Deadline.Sub(now), Phase: ro.phase, Reason: ro.reason,
	}
	if ro.phase.Final() {
		return report
	}
	report.Found, report.Crossed = ro.bad, slices.Sorted(maps.Keys(ro.crossed))
	report.Crossed = report.Crossed[:min(len(report.Crossed), MaxTallies)]
	compared := types.NewSet(ro.Controls(view)...)
	for _, id := range slices.Sorted(maps.Keys(ro.tallies)) {
		tally := ro.tallies[id]
		if (tally.Version == ro.order.To || compared.Has(id)) && len(report.Tallies) < MaxTallies {
			report.Tallies = append(report.Tallies, tally)
		}
	}
	return report
}

// Order returns the order that a report is of.
func (r Report) Order(now time.Time) Order {
	return Order{ID: r.ID, Service: r.Service, To: r.To, Sequence: r.Sequence, Start: now.Add(-r.Age), Deadline: now.Add(r.Left)}
}

// Merge adds what another node reports. It returns true if the phase has changed. Reports
// may come late, in any order and again.
func (ro *Rollout) Merge(report Report, now time.Time) bool {
	other := report.Order(now)
	if !ro.order.Same(other) {
		return false
	}
	if ro.order.Deadline.Sub(other.Deadline) > deadlineSlack {
		ro.order.Start, ro.order.Deadline = other.Start, other.Deadline
	}
	ro.order.Sequence = min(ro.order.Sequence, other.Sequence)
	for _, tally := range report.Tallies {
		ro.merge(tally)
	}
	for _, id := range report.Crossed {
		if ro.crossed[id] == "" && len(ro.crossed) < MaxTallies {
			ro.crossed[id] = "found bad by another node"
		}
	}
	if ro.bad == "" && !ro.phase.Final() {
		ro.bad = report.Found
	}
	return ro.Advance(report.Phase, report.Reason, now)
}

func (ro *Rollout) merge(tally Tally) {
	old, known := ro.tallies[tally.Instance]
	if known && !tally.newer(old) || !known && len(ro.tallies) >= 2*MaxTallies {
		return
	}
	ro.tallies[tally.Instance] = tally
	ro.sawOld = ro.sawOld || tally.Version != ro.order.To
}

// Supersedes reports whether an order takes the place of the one of this roll-out.
func (ro *Rollout) Supersedes(order Order) bool {
	return !ro.order.Same(order) && order.supersedes(ro.order)
}
