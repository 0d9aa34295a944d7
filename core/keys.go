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

// keys is what a node needs to run keyed work at most once.
type keys struct {
	limits flow.KeyLimits
	ledger *flow.Ledger
	// owned is the service whose work the node took after the last event.
	owned types.ServiceName
	// left holds when the node ceased to take the work of a service.
	left map[types.ServiceName]time.Time
	// missed states that the node did not know the fleet since it took work.
	missed      bool
	incarnation uint64
	// joined is when the node last came to know the fleet.
	joined types.Option[time.Time]
	// settled states that the node once knew the fleet for the margin.
	settled bool
}

func newKeys(limits flow.KeyLimits, opts []flow.LedgerOption) keys {
	return keys{
		limits: limits,
		ledger: flow.NewLedger(limits, opts...),
		left:   map[types.ServiceName]time.Time{},
	}
}

// watchKeys notes the state before an event.
func (st *State) watchKeys() {
	ks := &st.keys
	ks.incarnation = st.fleet.Self().Incarnation
}

// trackKeys notes, after an event, from when on the node's ledger is complete.
// It is not complete for the time in which other nodes may have counted this
// one out.
func (st *State) trackKeys(event types.Event, now time.Time) {
	ks := &st.keys
	self := st.fleet.Self()
	switch event.(type) {
	case fleet.ExchangeReceived, fleet.ExchangeAnswered:
		if self.Incarnation != ks.incarnation {
			ks.ledger.Renew(now)
		}
	}
	if joined := st.fleet.Joined(); !joined {
		ks.joined = types.None[time.Time]()
		ks.missed = true
	} else if !ks.joined.IsSome() {
		ks.joined = types.Some(now)
	}
	if at, ok := ks.joined.Get(); ok && !ks.settled {
		ks.settled = now.Sub(at) >= ks.limits.Margin
	}
	owned := types.ServiceName("")
	if self.TakesWork() && ks.joined.IsSome() {
		owned = self.Service
	}
	if owned == ks.owned {
		return
	}
	if ks.owned != "" {
		ks.left[ks.owned] = now
	}
	if owned != "" {
		ks.returned(owned, now)
	}
	ks.owned = owned
}

// returned notes that the node takes work of a service from now on. A node that
// was absent but knew the fleet was asked first for the keys of before.
func (ks *keys) returned(service types.ServiceName, now time.Time) {
	left, served := ks.left[service]
	if served && !ks.missed {
		ks.ledger.Return(left, now)
	} else {
		ks.ledger.Renew(now)
	}
	ks.missed = false
}

// keyOwner is one place in the owner order of a key.
type keyOwner struct {
	member fleet.Member
	// gone states that the process that may know the key is gone.
	gone bool
	rank uint64
}

// keyOrder returns the owners of a service in the order in which a key visits
// them: those that took work when it was minted, by their own clocks or by when
// this node learned of them. An owner that came later is left out, as no entry
// sends it the key.
func (st *State) keyOrder(service types.ServiceName, key types.Key, minted time.Time) []keyOwner {
	var order []keyOwner
	for _, member := range st.fleet.Serving(service) {
		if st.keys.limits.Knows(minted, servesSince(member)) {
			order = append(order, keyOwner{member: member})
		}
	}
	after := minted.Add(-st.keys.limits.Margin)
	for _, former := range st.fleet.Formers(service, after) {
		current, known := st.fleet.Member(former.Member.ID)
		same := known && current.Started.Equal(former.Member.Started)
		serves := same && current.TakesWork() && current.Service == service
		if serves && st.keys.limits.Knows(minted, servesSince(current)) {
			continue
		}
		alive := same && (current.Status == fleet.Alive || current.Status == fleet.Suspect)
		order = append(order, keyOwner{member: former.Member, gone: !alive})
	}
	if until, ok := st.keys.left[service]; ok && until.After(after) && !slices.ContainsFunc(order, st.isSelf) {
		order = append(order, keyOwner{member: st.fleet.Self()})
	}
	for at := range order {
		order[at].rank = xxhash.Sum64String(string(key) + "|" + string(order[at].member.ID))
	}
	slices.SortFunc(order, func(a, b keyOwner) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.member.ID, b.member.ID), compareGone(a, b))
	})
	return order
}

// servesSince returns from when on a member took work without a break.
func servesSince(member fleet.Member) time.Time {
	upstream, _ := member.Upstream.Get()
	if upstream.ReadyAt.After(member.Started) {
		return upstream.ReadyAt
	}
	return member.Started
}

func (st *State) isSelf(owner keyOwner) bool { return owner.member.ID == st.fleet.Self().ID }

// compareGone orders a process that is gone before its replacement.
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

// nextOwner chooses the owner that a keyed call goes to.
func (st *State) nextOwner(call flow.Call, passed types.Set[types.InstanceID], now time.Time) (flow.Choice, *fault.Error) {
	limits := st.keys.limits
	joined, ok := st.keys.joined.Get()
	if !ok || !limits.Knows(call.Minted, joined) {
		return flow.Choice{}, fault.New(fault.OutcomeUnknown, "the node joined too late to know the key")
	}
	order := st.keyOrder(call.Route.Service, call.Key.Or(""), call.Minted)
	left := slices.DeleteFunc(order, func(owner keyOwner) bool { return passed.Has(owner.member.ID) })
	if len(left) == 0 {
		return flow.Choice{}, nil
	}
	first := left[0]
	if first.gone {
		return flow.Choice{}, fault.New(fault.OutcomeUnknown, "the owner %s of the key is gone", first.member.ID)
	}
	if !limits.Knows(call.Minted, first.member.Started) {
		return flow.Choice{}, fault.New(fault.OutcomeUnknown, "the owner %s of the key started too late to know it", first.member.ID)
	}
	target := st.candidate(first.member, now)
	target.Route = call.Route.Name
	return flow.Choice{Target: target, Last: len(left) == 1}, nil
}

// keyedArrived answers a work whose key the ledger knows or cannot know, or that
// came to the wrong owner, and reports whether the work is new here.
func (st *State) keyedArrived(work admit.Work, now time.Time) ([]types.Effect, bool) {
	if !st.keys.ledger.Knows(work) {
		if err := st.checkOrder(work); err != nil {
			return []types.Effect{
				flow.Settle{Work: work.ID, Verdict: flow.NotRun, Err: err},
				flow.Forget{Work: work.ID},
			}, false
		}
	}
	return st.keys.ledger.Arrive(work, now)
}

// checkOrder returns an error if the entry of a keyed work left out an owner
// that comes before this node. The views of the two nodes differ, and the key
// may have run there.
func (st *State) checkOrder(work admit.Work) *fault.Error {
	key, minted, err := flow.ParseKey(work.Key.Or(""))
	if err != nil {
		return err
	}
	self := st.fleet.Self().ID
	for _, owner := range st.keyOrder(work.Service, key, minted) {
		if owner.member.ID == self {
			return nil
		}
		if !work.Passed.Has(owner.member.ID) {
			return fault.New(fault.NotReady, "the owner %s of the key was not asked", owner.member.ID).
				WithOutcome(fault.Unknown).WithRetryAfter(comeBackSoon)
		}
	}
	return nil
}

// withKey returns a call with the canonical form and the age of its key.
func (st *State) withKey(call flow.Call, now time.Time) (flow.Call, *fault.Error) {
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

// workCanceled withdraws a work unless its key must be remembered.
func (st *State) workCanceled(id types.WorkID, now time.Time) []types.Effect {
	effects, withdraw := st.keys.ledger.Canceled(id)
	if effects != nil || st.keys.ledger.Holds(id) && !withdraw {
		return effects
	}
	return st.gate.Withdraw(id, now)
}

// settleKeys tells the ledger what became of keyed works and lets it answer
// those that did not run.
func (st *State) settleKeys(effects []types.Effect) []types.Effect {
	ledger := st.keys.ledger
	if ledger.Open() == 0 {
		return effects
	}
	settled := make([]types.Effect, 0, len(effects))
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			ledger.Dispatched(ef.Work.ID)
		case admit.Refuse:
			if ledger.Holds(ef.Work.ID) {
				settled = append(settled, ledger.Refused(ef.Work, ef.Err)...)
				continue
			}
		}
		settled = append(settled, effect)
	}
	return settled
}

// Keys returns the number of idempotency keys that the node remembers.
func (st *State) Keys() int { return st.keys.ledger.Len() }

// Open returns the number of calls and works that are not over.
func (st *State) Open() int {
	return st.calls.Len() + st.gate.Running() + st.gate.Queued() + st.keys.ledger.Open()
}
