package core

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

// ruleCacheTTL is how long a cached evaluation of an upstream rule is used.
const ruleCacheTTL = time.Second

// ruleScope is the service and zone to which an upstream rule applies.
type ruleScope struct {
	service types.ServiceName
	zone    types.Zone
}

// effectiveRule is the upstream rule of a scope, evaluated at one time.
type effectiveRule struct {
	rule conf.UpstreamRule
	// open is true if the upstream may take work at evaluatedAt.
	open bool
	// closesAt is when the upstream closes next. It is set only if the rule limits
	// the opening hours, and it is valid only if open is true.
	closesAt    types.Option[time.Time]
	evaluatedAt time.Time
}

// ruleCache caches the evaluated rules of one version of the configuration.
type ruleCache struct {
	version types.Version
	byScope map[ruleScope]effectiveRule
}

// effectiveRule returns the rule for a member's upstream, from the cache if the
// cached evaluation is fresh.
func (st *State) effectiveRule(member fleet.Member, now time.Time) effectiveRule {
	if version := st.config.Current().Version(); st.rules.version != version || st.rules.byScope == nil {
		st.rules = ruleCache{version: version, byScope: map[ruleScope]effectiveRule{}}
	}
	scope := ruleScope{service: member.Service, zone: member.Zone}
	cached, ok := st.rules.byScope[scope]
	if !ok || !cached.isFresh(now) {
		cached = evaluateRule(st.config.Current(), scope, now)
		st.rules.byScope[scope] = cached
	}
	return cached
}

// evaluateRule evaluates the rule of a scope. Without a rule for the scope, the
// upstream is open only if the service has no rules at all.
func evaluateRule(snapshot conf.Snapshot, scope ruleScope, now time.Time) effectiveRule {
	rule, ok := snapshot.UpstreamRule(scope.service, scope.zone)
	if !ok {
		return effectiveRule{open: !snapshot.HasUpstreamRules(scope.service), evaluatedAt: now}
	}
	hours, limited := rule.Hours.Get()
	if !limited {
		return effectiveRule{rule: rule, open: true, evaluatedAt: now}
	}
	closesAt, open := hours.ClosesAt(now)
	return effectiveRule{rule: rule, open: open, closesAt: types.Some(closesAt), evaluatedAt: now}
}

// isFresh reports whether a cached evaluation may still be used: it is younger than
// ruleCacheTTL, and the upstream has not closed since.
func (op effectiveRule) isFresh(now time.Time) bool {
	if now.Before(op.evaluatedAt) || now.Sub(op.evaluatedAt) >= ruleCacheTTL {
		return false
	}
	return !op.open || now.Before(op.closesAt.Or(now.Add(1)))
}

// admits reports whether the upstream is open and work of the typical duration
// would end before it closes.
func (op effectiveRule) admits(typicalDuration time.Duration, now time.Time) bool {
	closesAt, limited := op.closesAt.Get()
	return op.open && (!limited || !now.Add(typicalDuration).After(closesAt))
}

// slots returns how many work items may run concurrently. This is the lower of the
// announced slots and connections, each capped by the rule, since every work item
// needs its own connection. If the connections are 0, only the slots count.
func (op effectiveRule) slots(upstream fleet.Upstream) int {
	slots := capped(upstream.Slots, op.rule.MaxSlots)
	if connections := capped(upstream.Connections, op.rule.MaxConnections); connections > 0 {
		return min(slots, connections)
	}
	return slots
}

// capped returns the announced number, but at most limit. A limit of 0 means that
// the number is not limited.
func capped(announced, limit int) int {
	if limit == 0 {
		return announced
	}
	return min(announced, limit)
}
