package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/types"
)

// keyState holds what a node needs to run non-idempotent work at most once per
// idempotency key.
type keyState struct {
	limits flow.KeyLimits
	ledger *flow.Ledger
	// ownedService is the service whose work the node accepts, as of the last
	// event. It is empty if the node accepts no work.
	ownedService types.ServiceName
	// leftAt maps a service to when the node last stopped accepting its work.
	leftAt map[types.ServiceName]time.Time
	// lostMembership is true if the node was not joined to the fleet at some time
	// since it last started to accept work.
	lostMembership bool
	// priorIncarnation is the node's incarnation before the current event.
	priorIncarnation uint64
	// joinedAt is when the node last joined the fleet.
	joinedAt types.Option[time.Time]
	// marginElapsed is true once the node has been joined to the fleet for
	// limits.Margin without a break. It then stays true.
	marginElapsed bool
}

func newKeyState(limits flow.KeyLimits, opts []flow.LedgerOption) keyState {
	return keyState{
		limits: limits,
		ledger: flow.NewLedger(limits, opts...),
		leftAt: map[types.ServiceName]time.Time{},
	}
}

// recordIncarnation saves the node's incarnation before an event, so that
// updateKeyCoverage can tell whether the event changed the incarnation.
func (st *State) recordIncarnation() {
	ks := &st.keys
	ks.priorIncarnation = st.fleet.Self().Incarnation
}

// updateKeyCoverage updates, after an event, which keys the node's ledger covers.
// The ledger covers a key if it must have a record of the key in case the key was
// used. It does not cover keys minted while other nodes may have believed this
// node dead, since entry nodes may have sent those keys to another owner node. An
// exchange that changes this node's incarnation indicates this, since the node
// raises its incarnation to refute a report that it is not alive.
func (st *State) updateKeyCoverage(event types.Event, now time.Time) {
	ks := &st.keys
	self := st.fleet.Self()
	switch event.(type) {
	case fleet.ExchangeReceived, fleet.ExchangeAnswered:
		if self.Incarnation != ks.priorIncarnation {
			ks.ledger.MarkIncompleteBefore(now)
		}
	}
	if joined := st.fleet.Joined(); !joined {
		ks.joinedAt = types.None[time.Time]()
		ks.lostMembership = true
	} else if !ks.joinedAt.IsSome() {
		ks.joinedAt = types.Some(now)
	}
	if at, ok := ks.joinedAt.Get(); ok && !ks.marginElapsed {
		ks.marginElapsed = now.Sub(at) >= ks.limits.Margin
	}
	owned := types.ServiceName("")
	if self.AcceptsWork() && ks.joinedAt.IsSome() {
		owned = self.Service
	}
	if owned == ks.ownedService {
		return
	}
	if ks.ownedService != "" {
		ks.leftAt[ks.ownedService] = now
	}
	if owned != "" {
		ks.resumeService(owned, now)
	}
	ks.ownedService = owned
}

// resumeService records that the node accepts work of a service from now on. If
// the node served the service before and has stayed joined to the fleet since,
// entry nodes still asked this node first for keys minted before its absence, so
// only keys minted during the absence may have run elsewhere. Otherwise any key
// minted before now may have run elsewhere.
func (ks *keyState) resumeService(service types.ServiceName, now time.Time) {
	leftAt, served := ks.leftAt[service]
	if served && !ks.lostMembership {
		ks.ledger.RecordGap(leftAt, now)
	} else {
		ks.ledger.MarkIncompleteBefore(now)
	}
	ks.lostMembership = false
}

// keyOwner is a node in the order in which a key's owners are asked.
type keyOwner struct {
	member fleet.Member
	// gone is true if the process that may have recorded the key has ended.
	gone bool
	// rank is the node's rendezvous hash for the key; the highest comes first.
	rank uint64
}

// rankKeyOwners returns the owner nodes of a service in the order in which entry
// nodes ask them to run a key. It includes the nodes that accepted work when the
// key was minted. The time at which an owner node started to accept work is read
// from that node's clock. The time at which an owner node stopped is when this
// node learned of the stop. Owner nodes that started less than the margin before
// the mint time, or later, are excluded, since no entry node sends them the key.
func (st *State) rankKeyOwners(service types.ServiceName, key types.Key, minted time.Time) []keyOwner {
	var order []keyOwner
	for _, member := range st.fleet.ServiceOwners(service) {
		if st.keys.limits.Covers(minted, servesSince(member)) {
			order = append(order, keyOwner{member: member})
		}
	}
	after := minted.Add(-st.keys.limits.Margin)
	for _, former := range st.fleet.FormerOwners(service, after) {
		current, known := st.fleet.Member(former.Member.ID)
		sameProcess := known && current.StartedAt.Equal(former.Member.StartedAt)
		serves := sameProcess && current.AcceptsWork() && current.Service == service
		if serves && st.keys.limits.Covers(minted, servesSince(current)) {
			continue
		}
		alive := sameProcess && (current.Status == fleet.Alive || current.Status == fleet.Suspect)
		order = append(order, keyOwner{member: former.Member, gone: !alive})
	}
	if departedAt, ok := st.keys.leftAt[service]; ok && departedAt.After(after) && !slices.ContainsFunc(order, st.isSelf) {
		order = append(order, keyOwner{member: st.fleet.Self()})
	}
	for i := range order {
		order[i].rank = xxhash.Sum64String(string(key) + "|" + string(order[i].member.ID))
	}
	slices.SortFunc(order, func(a, b keyOwner) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.member.ID, b.member.ID), compareGone(a, b))
	})
	return order
}

// servesSince returns the time since which a member has accepted work without a
// break.
func servesSince(member fleet.Member) time.Time {
	upstream, _ := member.Upstream.Get()
	if upstream.ReadyAt.After(member.StartedAt) {
		return upstream.ReadyAt
	}
	return member.StartedAt
}

func (st *State) isSelf(owner keyOwner) bool { return owner.member.ID == st.fleet.Self().ID }

// compareGone orders a process that has ended before its replacement.
func compareGone(a, b keyOwner) int {
	switch {
	case a.gone == b.gone:
		return 0
	case a.gone:
		return -1
	default:
		return 1
	}
}

// nextOwner chooses the owner node to ask next for a keyed call. The owner nodes in
// declinedBy have declined the key and will never run it. If there is no other
// owner node, the choice is empty. nextOwner returns an error if it is unknown
// whether the key was used: this node joined too late to know the key's owners, or
// the next owner node has ended, or has started too late to know the key.
func (st *State) nextOwner(call flow.Call, declinedBy types.Set[types.InstanceID], now time.Time) (flow.OwnerChoice, *fault.Error) {
	limits := st.keys.limits
	joined, ok := st.keys.joinedAt.Get()
	if !ok || !limits.Covers(call.Minted, joined) {
		return flow.OwnerChoice{}, fault.New(fault.OutcomeUnknown, "the node joined too late to know the key")
	}
	order := st.rankKeyOwners(call.Route.Service, call.Key.Or(""), call.Minted)
	remaining := slices.DeleteFunc(order, func(owner keyOwner) bool { return declinedBy.Has(owner.member.ID) })
	if len(remaining) == 0 {
		return flow.OwnerChoice{}, nil
	}
	first := remaining[0]
	if first.gone {
		return flow.OwnerChoice{}, fault.New(fault.OutcomeUnknown, "the owner %s of the key is gone", first.member.ID)
	}
	if !limits.Covers(call.Minted, first.member.StartedAt) {
		return flow.OwnerChoice{}, fault.New(fault.OutcomeUnknown, "the owner %s of the key started too late to know it", first.member.ID)
	}
	target := st.candidate(first.member, now)
	target.Route, target.CostFactor = call.Route.Name, call.CostFactor
	return flow.OwnerChoice{Target: target, LastOwner: len(remaining) == 1}, nil
}

// keyedWorkArrived reports whether a keyed work item may be admitted. It may not if
// the ledger has a record of the key, cannot tell whether the key was used, or is
// full, if the key is not valid, or if the entry node skipped an owner node. In
// these cases the returned effects answer the work item, unless it must wait for
// the outcome of a work item with the same key that is queued or running.
func (st *State) keyedWorkArrived(work admit.WorkItem, now time.Time) ([]types.Effect, bool) {
	if !st.keys.ledger.HasKey(work) {
		if err := st.checkOwnersAsked(work); err != nil {
			return []types.Effect{
				flow.Settle{Work: work.ID, Verdict: flow.NotRun, Err: err},
				flow.DeleteWork{Work: work.ID},
			}, false
		}
	}
	return st.keys.ledger.RecordArrival(work, now)
}

// checkOwnersAsked returns an error if the entry node did not ask an owner that
// precedes this node for the key. The membership views of the two nodes then
// differ, and the work may have run at that owner.
func (st *State) checkOwnersAsked(work admit.WorkItem) *fault.Error {
	key, minted, err := flow.ParseKey(work.Key.Or(""))
	if err != nil {
		return err
	}
	self := st.fleet.Self().ID
	for _, owner := range st.rankKeyOwners(work.Service, key, minted) {
		if owner.member.ID == self {
			return nil
		}
		if !work.KeyDeclinedBy.Has(owner.member.ID) {
			return fault.New(fault.NotReady, "the owner %s of the key was not asked", owner.member.ID).
				WithOutcome(fault.Unknown).WithRetryAfter(defaultRetryAfter)
		}
	}
	return nil
}

// withParsedKey returns a call with its key in canonical form and the time at
// which the key was minted. It returns an error if the key is malformed, too old
// or from the future.
func (st *State) withParsedKey(call flow.Call, now time.Time) (flow.Call, *fault.Error) {
	if !call.Keyed() {
		return call, nil
	}
	key, minted, err := flow.ParseKey(call.Key.Or(""))
	if err != nil {
		return call, err
	}
	if err := st.keys.limits.Check(minted, now); err != nil {
		return call, err
	}
	call.Key = types.Some(key)
	call.Minted = minted
	return call, nil
}

// workCanceled cancels a work item whose caller no longer waits, unless the work
// item must continue so that the outcome of its key is known.
func (st *State) workCanceled(id types.WorkID, now time.Time) []types.Effect {
	effects, withdraw := st.keys.ledger.RecordCancellation(id)
	if effects != nil || st.keys.ledger.IsInProgress(id) && !withdraw {
		return effects
	}
	return st.admission.Cancel(id, now)
}

// recordKeyOutcomes records in the ledger which keyed work items are dispatched
// or refused by the given effects. The ledger's own answers replace the
// refusals of keyed work.
func (st *State) recordKeyOutcomes(effects []types.Effect) []types.Effect {
	ledger := st.keys.ledger
	if ledger.InProgressCount() == 0 {
		return effects
	}
	settled := make([]types.Effect, 0, len(effects))
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			ledger.RecordDispatch(ef.Work.ID)
		case admit.Refuse:
			if ledger.IsInProgress(ef.Work.ID) {
				settled = append(settled, ledger.RecordRefusal(ef.Work, ef.Err)...)
				continue
			}
		}
		settled = append(settled, effect)
	}
	return settled
}

// KeyCount returns the number of idempotency keys in the ledger.
func (st *State) KeyCount() int { return st.keys.ledger.Len() }

// InProgressCount returns the number of calls and work items in progress.
func (st *State) InProgressCount() int {
	return st.calls.Len() + st.admission.Running() + st.admission.Queued() + st.keys.ledger.InProgressCount()
}
