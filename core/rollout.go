package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// handOver is how long an old upstream still takes work after its node has learned that
	// the work shifts, so that entry nodes learn of it first.
	handOver = time.Second
	// coldTime is how long after its start an upstream's durations say nothing.
	coldTime = 2 * time.Second
	// turnSteps and turnStep spread the delegates' attempts to decide: mostly the first one
	// has decided, and the others know, before their turn comes.
	turnSteps = 4
	turnStep  = 100 * time.Millisecond
	// decideRetry is how long a decision may take until it is asked for again.
	decideRetry = 2 * time.Second
	// delegateTime is for how long a node that was a delegate decides.
	delegateTime = 30 * time.Second
	// keepEnded is how long a roll-out that ended is remembered. One that went back is
	// remembered while there are upstreams of its version.
	keepEnded = 10 * time.Minute
	// maxRollouts is the maximum number of services with a roll-out at a time.
	maxRollouts = canary.MaxReports
)

// WithRollouts lets operators order roll-outs, with the given bound on the exposure of
// callers to an unproved version. Without it, versions do not matter.
func WithRollouts(bound canary.Bound) Option {
	return func(se *settings) { se.exposure = types.Some(bound) }
}

// RolloutRead reports what the platform's store says of an order.
type RolloutRead struct {
	Order  canary.Order
	Phase  canary.Phase
	Reason string
}

// Event implements types.Event.
func (RolloutRead) Event() {}

// AdvanceRollout is the effect to write the next phase of a roll-out to the platform's
// store. RolloutRead reports what the store then holds.
type AdvanceRollout struct {
	Order  canary.Order
	Phase  canary.Phase
	Reason string
}

// Effect implements types.Effect.
func (AdvanceRollout) Effect() {}

// rollouts is what a node knows of roll-outs.
type rollouts struct {
	bound    types.Option[canary.Bound]
	active   map[types.ServiceName]*rollout
	services map[types.ServiceName]*knownVersions
	credits  map[types.ServiceName]*canary.Credit
	// part is the part of a request with which the node's credits begin.
	part float64
	// delegateAt is when this node was last a delegate.
	delegateAt time.Time
	observedAt time.Time
	spreadAt   time.Time
}

// rollout is a roll-out and this node's part in it.
type rollout struct {
	*canary.Rollout
	view canary.View
	// trials are the upstreams that get the requests on trial.
	trials types.Set[types.InstanceID]
	// takesPart is true if this node owns a compared upstream or decides. The others hear and
	// tell what was found, but pass no tallies on, which are most of a message.
	takesPart bool
	// wanted is the phase that this node wants to be written, since wantedAt. askedAt is
	// when it last asked for it.
	wanted            canary.Phase
	wantedAt, askedAt time.Time
	// olds are the versions that the order moves work from, as seen before it ended.
	olds types.Set[types.UpstreamVersion]
	// found is true once the node has recorded that it found the version bad.
	found bool
	// peer counts the exchanges with others that take part.
	peer int
}

func newRollouts(self fleet.Member, bound types.Option[canary.Bound]) rollouts {
	const parts = 1 << 16
	seed := xxhash.Sum64String(string(self.ID) + self.StartedAt.String())
	return rollouts{
		bound: bound, active: map[types.ServiceName]*rollout{}, services: map[types.ServiceName]*knownVersions{},
		credits: map[types.ServiceName]*canary.Credit{}, part: float64(seed%parts) / parts,
	}
}

// aim returns the share of its requests that this node sends to an unproved version.
func (rs *rollouts) aim() float64 { return rs.bound.Or(canary.DefaultBound()).Aim() }

func (rs *rollouts) credit(service types.ServiceName) *canary.Credit {
	if rs.credits[service] == nil {
		rs.credits[service] = canary.NewCredit(rs.part)
	}
	return rs.credits[service]
}

// Rollouts returns the roll-outs that this node knows, ordered by service.
func (st *State) Rollouts() []canary.Status {
	var list []canary.Status
	for _, service := range slices.Sorted(maps.Keys(st.rollouts.active)) {
		known := st.rollouts.active[service]
		phase, _ := known.Phase()
		list = append(list, canary.Status{Order: known.Order(), Phase: phase, Reason: cmp.Or(known.Reason(), known.Found())})
	}
	return list
}

// RolloutAnswers returns the answers of the compared upstreams in all roll-outs, and the
// failures among them, of the ordered versions or of the others.
func (st *State) RolloutAnswers(ordered bool) (answers, failures int) {
	for _, known := range st.rollouts.active {
		counted, failed := known.Answers(ordered)
		answers, failures = answers+counted, failures+failed
	}
	return answers, failures
}

// rolloutRead adds what the store says. A roll-out that the store calls done needs nothing of
// a node that did not take part.
func (st *State) rolloutRead(event RolloutRead, now time.Time) []types.Effect {
	if event.Phase == canary.Done && st.rollouts.active[event.Order.Service] == nil {
		return nil
	}
	return st.reportsReceived([]canary.Report{{
		ID: event.Order.ID, Service: event.Order.Service, To: event.Order.To, Sequence: event.Order.Sequence,
		Age: now.Sub(event.Order.Start), Left: event.Order.Deadline.Sub(now), Phase: event.Phase, Reason: event.Reason,
	}}, now)
}

// recordAnswer counts an answer of the local upstream while a roll-out of its service runs.
func (st *State) recordAnswer(event admit.Ended, now time.Time) {
	announced := st.upstream.announcement
	known := st.rollouts.active[announced.Service]
	if known == nil {
		return
	}
	work, _, ok := st.admission.RunningSince(event.ID)
	if phase, _ := known.Phase(); !ok || phase.Final() {
		return
	}
	self := st.fleet.Self()
	warm := st.upstream.readyAt.Add(max(announced.WarmUp, coldTime))
	known.Record(
		canary.Tally{Instance: self.ID, Epoch: uint64(self.StartedAt.UnixMilli()), Version: announced.Version},
		canary.Answer{Route: work.Route, Elapsed: event.Elapsed, Failed: event.ServerFault || !event.Complete, Cold: now.Before(warm)},
	)
}

// versionError returns the error with which the local upstream's owner refuses work because
// of the version that it runs: the version is stopped, or its upstreams hand their work
// over. A keyed call never runs at a version on trial, as its entry node can't choose
// another owner by itself.
func (st *State) versionError(work admit.WorkItem, now time.Time) *fault.Error {
	known := st.rollouts.active[work.Service]
	if known == nil {
		return nil
	}
	version := st.upstream.announcement.Version
	phase, since := known.Phase()
	ours := version == known.Order().To
	switch {
	case ours && known.Stopped():
		return fault.New(fault.Closed, "the version %s is stopped: %s", version, cmp.Or(known.Reason(), known.Found())).WithRetryAfter(defaultRetryAfter)
	case ours && phase == canary.Trial && work.Keyed():
		return fault.New(fault.Closed, "the version %s is on trial and takes no keys", version).WithRetryAfter(defaultRetryAfter)
	case known.handsOver(version) && now.Sub(since) >= handOver:
		return fault.New(fault.Closed, "the work moves to version %s", known.Order().To).WithRetryAfter(defaultRetryAfter)
	default:
		return nil
	}
}

// handsOver reports whether upstreams of a version end their work because the order's
// version gets all of it and has upstreams that can take it. Once the roll-out is done, this
// holds for the versions that it moved the work from, and not for later ones.
func (ro *rollout) handsOver(version types.UpstreamVersion) bool {
	phase, _ := ro.Phase()
	if version == ro.Order().To || ro.Stopped() || len(ro.view.New) == 0 {
		return false
	}
	return phase == canary.Shifting || phase == canary.Done && ro.olds.Has(version)
}

// retired reports whether the local upstream has handed its work over and runs none, so
// that the roll-out may end.
func (st *State) retired(now time.Time) bool {
	known := st.rollouts.active[st.upstream.announcement.Service]
	if known == nil || !known.handsOver(st.upstream.announcement.Version) {
		return false
	}
	_, since := known.Phase()
	return now.Sub(since) >= handOver && st.admission.Running() == 0 && st.admission.Queued() == 0
}

// tickRollouts watches the versions of the upstreams, judges those on trial, spreads what is
// found and asks for what must be decided.
func (st *State) tickRollouts(now time.Time) []types.Effect {
	if !st.rollouts.bound.IsSome() {
		return nil
	}
	st.observeVersions(now)
	if st.fleet.IsDelegate() {
		st.rollouts.delegateAt = now
	}
	var effects []types.Effect
	for _, service := range slices.Sorted(maps.Keys(st.rollouts.active)) {
		known := st.rollouts.active[service]
		phase, since := known.Phase()
		known.view = st.versionView(known.Order())
		if phase.Final() && now.Sub(since) >= keepEnded && (phase == canary.Done || len(known.view.New) == 0) {
			delete(st.rollouts.active, service)
			continue
		}
		st.observeOlds(known, phase)
		known.Observe(known.view, now)
		known.trials = types.NewSet(known.Trials(known.view)...)
		if known.Found() != "" && !known.found {
			known.found = true
			detail := "service " + string(service) + ": version " + string(known.Order().To) + " is bad: " + known.Found()
			effects = append(effects, trace.Event{Kind: trace.RolloutChanged, Subject: st.fleet.Self().ID, Detail: detail})
			effects = append(effects, st.refuseStopped(known)...)
		}
		effects = append(effects, st.decide(known, now)...)
	}
	return append(effects, st.spreadRollouts(now)...)
}

// observeOlds adds the other versions of the service to those that the order moves work from.
func (st *State) observeOlds(known *rollout, phase canary.Phase) {
	if phase.Final() {
		return
	}
	for _, owner := range st.fleet.ServiceOwners(known.Order().Service) {
		if version := versionOf(owner); version != known.Order().To && !known.olds.Has(version) {
			known.olds = known.olds.With(version)
		}
	}
}

// refuseStopped refuses the queued work of an upstream whose version is stopped.
func (st *State) refuseStopped(known *rollout) []types.Effect {
	if st.upstream.announcement.Service != known.Order().Service || st.upstream.announcement.Version != known.Order().To {
		return nil
	}
	return st.refuseQueued(fault.Closed, "the version is stopped")
}

// DecidesRollouts reports whether this node reads orders and decides on roll-outs: it is a
// delegate, or was one lately. While many upstreams of a new version join the fleet, no node
// is sure to be a delegate, and just then an order may have to be read.
func (st *State) DecidesRollouts(now time.Time) bool {
	return st.fleet.IsDelegate() || !st.rollouts.delegateAt.IsZero() && now.Sub(st.rollouts.delegateAt) < delegateTime
}

// decide asks for the next phase if this node decides. Those that do ask one after the
// other, and the store takes one answer.
func (st *State) decide(known *rollout, now time.Time) []types.Effect {
	phase, reason := known.Next(known.view, now)
	present, _ := known.Phase()
	if phase == present || !st.DecidesRollouts(now) {
		known.wanted = present
		return nil
	}
	if phase != known.wanted {
		known.wanted, known.wantedAt, known.askedAt = phase, now, time.Time{}
	}
	order := known.Order()
	turn := xxhash.Sum64String(string(order.Service)+string(st.fleet.Self().ID)) % turnSteps
	if now.Sub(known.wantedAt) < time.Duration(turn)*turnStep || now.Sub(known.askedAt) < decideRetry {
		return nil
	}
	known.askedAt = now
	return []types.Effect{AdvanceRollout{Order: order, Phase: phase, Reason: reason}}
}

// versionOwners returns the owners that an attempt of a call may go to: one of the first
// list, or if none of these can take it, one of the second.
func (st *State) versionOwners(call flow.Call, tried types.Set[types.InstanceID], now time.Time) [2][]fleet.Member {
	owners := st.fleet.ServiceOwners(call.Route.Service)
	if !st.rollouts.bound.IsSome() {
		return [2][]fleet.Member{owners}
	}
	return st.rollouts.owners(call.Route.Service, owners, tried.Len() == 0, now)
}
