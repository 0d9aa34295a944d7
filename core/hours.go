package core

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

// openingInterval is how long a look at the opening hours holds.
const openingInterval = time.Second

// place is where a rule holds.
type place struct {
	service types.ServiceName
	zone    types.Zone
}

// opening is what the rules of a place say at an instant.
type opening struct {
	rule   conf.UpstreamRule
	open   bool
	closes types.Option[time.Time]
	looked time.Time
}

// openings remembers what the rules of a configuration say for each place.
type openings struct {
	version types.Version
	places  map[place]opening
}

// opening returns what the rules say of a member's upstream.
func (st *State) opening(member fleet.Member, now time.Time) opening {
	current := st.conf.Current()
	if st.openings.version != current.Version() || st.openings.places == nil {
		st.openings = openings{version: current.Version(), places: map[place]opening{}}
	}
	at := place{service: member.Service, zone: member.Zone}
	known, ok := st.openings.places[at]
	if !ok || !known.holds(now) {
		known = look(current, at, now)
		st.openings.places[at] = known
	}
	return known
}

func look(snapshot conf.Snapshot, at place, now time.Time) opening {
	rule, ok := snapshot.Rule(at.service, at.zone)
	if !ok {
		return opening{open: !snapshot.HasRules(at.service), looked: now}
	}
	hours, limited := rule.Hours.Get()
	if !limited {
		return opening{rule: rule, open: true, looked: now}
	}
	closes, open := hours.ClosesAt(now)
	return opening{rule: rule, open: open, closes: types.Some(closes), looked: now}
}

// holds reports whether the look is still true.
func (op opening) holds(now time.Time) bool {
	if now.Before(op.looked) || now.Sub(op.looked) >= openingInterval {
		return false
	}
	return !op.open || now.Before(op.closes.Or(now.Add(1)))
}

// takes reports whether work that usually takes a time would end before the
// upstream closes.
func (op opening) takes(usual time.Duration, now time.Time) bool {
	closes, limited := op.closes.Get()
	return op.open && (!limited || !now.Add(usual).After(closes))
}

// slots returns how many works may run at once: the announced slots and
// connections, capped by the rule, each work having a connection of its own.
func (op opening) slots(upstream fleet.Upstream) int {
	slots := capped(upstream.Slots, op.rule.Slots)
	if connections := capped(upstream.Connections, op.rule.Connections); connections > 0 {
		return min(slots, connections)
	}
	return slots
}

func capped(announced, limit int) int {
	if limit == 0 {
		return announced
	}
	return min(announced, limit)
}
