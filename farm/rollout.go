package farm

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/types"
)

// Flaw is what is wrong with a version.
type Flaw string

// The flaws of versions.
const (
	// NoFlaw is a version as good as the old one.
	NoFlaw Flaw = "none"
	// FailsHalf fails half of its answers, and FailsFifth a fifth.
	FailsHalf  Flaw = "half failing"
	FailsFifth Flaw = "a fifth failing"
	// FailsRoute fails half of its answers on one route of three.
	FailsRoute Flaw = "one route"
	// FailsLater fails a fifth of its answers from the fifth second on.
	FailsLater Flaw = "from the fifth second"
	// FailsLoaded fails half of its answers while more than half of its slots are busy.
	FailsLoaded Flaw = "above half load"
	// Slow takes three times as long.
	Slow Flaw = "3 times slower"
)

// Flaws returns the flaws of bad versions.
func Flaws() []Flaw { return []Flaw{FailsHalf, FailsFifth, FailsRoute, FailsLater, FailsLoaded, Slow} }

// RolloutSettings describes one roll-out.
type RolloutSettings struct {
	// Old and New are the numbers of upstreams, Rate the requests to the service per second.
	Old, New int
	Rate     float64
	Work     time.Duration
	Flaw     Flaw
	// Duration is the time of the order.
	Duration time.Duration
	// FaultShare is the share of answers that fail at all upstreams.
	FaultShare float64
	// Grey makes the first upstream of the new version fail half of its answers, by a fault
	// of its machine.
	Grey bool
	// FixedShare judges only once the trial ends, at a share of a tenth.
	FixedShare bool
	Seed       uint64
}

// RolloutResult is the outcome of the trial.
type RolloutResult struct {
	Phase  canary.Phase
	Reason string
	// Bad is the number of the version's bad answers until no owner runs work of it, and
	// After the time from the 50th of them until then, or 0 if there were fewer.
	Bad   int
	After time.Duration
	// Exposed is the share of the requests that went to the version.
	Exposed float64
	// Took is the time until the trial ended.
	Took time.Duration
}

const (
	trialSlots = 7
	// trialStep is the time between two exchanges of a participant, after which it judges.
	trialStep = 250 * time.Millisecond
	// spread is the standard deviation of the logarithm of durations.
	spread       = 0.4
	countedBad   = 50
	startedAfter = time.Second
)

var trialRoutes = []types.RouteName{"r0", "r1", "r2"}

type trialEnd struct {
	at       time.Time
	upstream int
	answer   canary.Answer
	bad      bool
}

type trialEnds []trialEnd

func (te trialEnds) Len() int           { return len(te) }
func (te trialEnds) Less(i, j int) bool { return te[i].at.Before(te[j].at) }
func (te trialEnds) Swap(i, j int)      { te[i], te[j] = te[j], te[i] }
func (te *trialEnds) Push(item any)     { *te = append(*te, item.(trialEnd)) }
func (te *trialEnds) Pop() any {
	last := (*te)[len(*te)-1]
	*te = (*te)[:len(*te)-1]
	return last
}

// trial is a running trial. Upstreams from settings.Old on are of the new version. The last
// of the nodes is a delegate without an upstream of the service.
type trial struct {
	settings RolloutSettings
	source   *rand.Rand
	order    canary.Order
	view     canary.View
	trials   []types.InstanceID
	controls []types.InstanceID
	// compared has the compared old upstreams only.
	compared canary.View
	nodes    []*canary.Rollout
	ids      []types.InstanceID
	running  []int
	ends     trialEnds
	credit   *canary.Credit
	aim      float64
	now      time.Time
	fiftieth time.Time
	result   RolloutResult
	requests int
	exposed  int
}

var trialStart = time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)

// RunRollout simulates the trial of a version. The owners of the compared upstreams and a
// delegate exchange what they know, each with one other at a time.
func RunRollout(settings RolloutSettings) RolloutResult {
	bound := canary.DefaultBound()
	tr := &trial{
		settings: settings, source: rand.New(rand.NewPCG(settings.Seed, 7)), now: trialStart, aim: bound.Aim(), credit: canary.NewCredit(0),
		order:   canary.Order{ID: canary.OrderID(settings.Seed), Service: "s", To: "v2", Start: trialStart, Deadline: trialStart.Add(settings.Duration)},
		running: make([]int, settings.Old+settings.New),
	}
	if settings.FixedShare {
		tr.aim = bound.Share
	}
	for number := range settings.Old + settings.New + 1 {
		tr.ids = append(tr.ids, trialID(number))
		tr.nodes = append(tr.nodes, canary.NewRollout(tr.order, canary.Trial, bound.Aim(), trialStart))
		upstream := canary.Upstream{ID: tr.ids[number], Slots: trialSlots}
		switch {
		case number < settings.Old:
			tr.view.Old = append(tr.view.Old, upstream)
		case number < settings.Old+settings.New:
			tr.view.New = append(tr.view.New, upstream)
		}
	}
	tr.controls = tr.delegate().Controls(tr.view)
	for _, upstream := range tr.view.Old {
		if slices.Contains(tr.controls, upstream.ID) {
			tr.compared.Old = append(tr.compared.Old, upstream)
		}
	}
	tr.run()
	return tr.result
}

func trialID(number int) types.InstanceID { return types.InstanceID(fmt.Sprintf("u%03d", number)) }

// trialNumber is the inverse of trialID.
func trialNumber(id types.InstanceID) int {
	number, _ := strconv.Atoi(string(id[1:]))
	return number
}

func (tr *trial) delegate() *canary.Rollout { return tr.nodes[len(tr.nodes)-1] }

func (tr *trial) run() {
	for step := 0; ; step++ {
		next := tr.now.Add(trialStep)
		tr.trials = tr.delegate().Trials(tr.view)
		tr.arrivals(next)
		tr.finish(next)
		tr.now = next
		tr.exchange(step)
		for _, node := range tr.judges() {
			node.Observe(tr.view, tr.now)
		}
		if tr.ended() {
			tr.result.Exposed = float64(tr.exposed) / float64(max(tr.requests, 1))
			tr.result.Took = tr.now.Sub(trialStart)
			return
		}
	}
}

// participants returns the nodes that exchange what they know.
func (tr *trial) participants() []int {
	var numbers []int
	for _, id := range slices.Concat(tr.delegate().Trials(tr.view), tr.controls) {
		numbers = append(numbers, trialNumber(id))
	}
	return append(numbers, len(tr.nodes)-1)
}

// judges returns the nodes whose judgement matters: those of the new version that get
// requests, and the delegate.
func (tr *trial) judges() []*canary.Rollout {
	nodes := []*canary.Rollout{tr.delegate()}
	for _, id := range tr.trials {
		nodes = append(nodes, tr.nodes[trialNumber(id)])
	}
	return nodes
}

func (tr *trial) exchange(round int) {
	numbers := tr.participants()
	for at, number := range numbers {
		other := numbers[(at+1+round%(len(numbers)-1))%len(numbers)]
		sent, answer := tr.nodes[number].Report(tr.compared, tr.now), tr.nodes[other].Report(tr.compared, tr.now)
		tr.nodes[other].Merge(sent, tr.now)
		tr.nodes[number].Merge(answer, tr.now)
	}
}

// arrivals starts the requests that come before a time.
func (tr *trial) arrivals(until time.Time) {
	at := tr.now
	for {
		at = at.Add(time.Duration(tr.source.ExpFloat64() / tr.settings.Rate * float64(time.Second)))
		if !at.Before(until) {
			return
		}
		tr.finish(at)
		tr.requests++
		tr.start(at)
	}
}

func (tr *trial) start(at time.Time) {
	started := at.Sub(trialStart) >= startedAfter
	if started {
		tr.credit.Earn(tr.aim)
	}
	trials := tr.trials
	if tr.settings.FixedShare {
		trials = nil
		for _, upstream := range tr.view.New {
			trials = append(trials, upstream.ID)
		}
	}
	if !started || len(trials) == 0 || !tr.credit.Spend() {
		tr.beginOld(at)
		return
	}
	tr.exposed++
	number := trialNumber(trials[tr.source.IntN(len(trials))])
	if tr.nodes[number].Stopped() && !tr.settings.FixedShare {
		tr.beginOld(at)
		return
	}
	tr.begin(number, at)
}

// beginOld starts a request at an old upstream. Only those that are compared matter.
func (tr *trial) beginOld(at time.Time) {
	if number := tr.source.IntN(tr.settings.Old); slices.Contains(tr.controls, tr.ids[number]) {
		tr.begin(number, at)
	}
}

func (tr *trial) begin(number int, at time.Time) {
	tr.running[number]++
	route := tr.source.IntN(len(trialRoutes))
	elapsed := time.Duration(float64(tr.settings.Work) * math.Exp(spread*tr.source.NormFloat64()))
	ours := number >= tr.settings.Old
	failing := tr.settings.FaultShare
	bad := false
	if ours {
		share := tr.flawShare(number, route, at)
		bad = tr.source.Float64() < share
		if tr.settings.Flaw == Slow {
			elapsed, bad = 3*elapsed, true
		}
	}
	heap.Push(&tr.ends, trialEnd{at: at.Add(elapsed), upstream: number, bad: bad, answer: canary.Answer{
		Route: trialRoutes[route], Elapsed: elapsed,
		Failed: bad && tr.settings.Flaw != Slow || tr.source.Float64() < failing,
	}})
}

// flawShare returns the share of the version's answers that fail.
func (tr *trial) flawShare(number, route int, at time.Time) float64 {
	const half, fifth, laterAfter = 0.5, 0.2, 5 * time.Second
	settings := tr.settings
	switch {
	case settings.Grey && number == settings.Old, settings.Flaw == FailsHalf:
		return half
	case settings.Flaw == FailsFifth, settings.Flaw == FailsLater && at.Sub(trialStart) >= laterAfter:
		return fifth
	case settings.Flaw == FailsRoute && route == 0, settings.Flaw == FailsLoaded && 2*tr.running[number] > trialSlots:
		return half
	default:
		return 0
	}
}

// finish ends the requests that end before a time.
func (tr *trial) finish(until time.Time) {
	for len(tr.ends) > 0 && !tr.ends[0].at.After(until) {
		end, _ := heap.Pop(&tr.ends).(trialEnd)
		tr.running[end.upstream]--
		version := types.UpstreamVersion("v1")
		if end.upstream >= tr.settings.Old {
			version = "v2"
		}
		tr.nodes[end.upstream].Record(canary.Tally{Instance: tr.ids[end.upstream], Epoch: 1, Version: version}, end.answer)
		if end.bad {
			tr.result.Bad++
			if tr.result.Bad == countedBad {
				tr.fiftieth = end.at
			}
		}
	}
}

// ended reports whether the trial has ended: the delegate decides, and no owner of the new
// version that gets requests runs them any more.
func (tr *trial) ended() bool {
	if tr.settings.FixedShare && tr.now.Before(tr.order.TrustAt()) {
		return false
	}
	phase, reason := tr.delegate().Next(tr.view, tr.now)
	if phase == canary.Trial {
		return false
	}
	tr.result.Phase, tr.result.Reason = phase, reason
	if !tr.fiftieth.IsZero() {
		tr.result.After = tr.now.Sub(tr.fiftieth)
	}
	return true
}
