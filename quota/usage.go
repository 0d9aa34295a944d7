package quota

import (
	"cmp"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Usage says what a node knows about the limit of a team.
type Usage struct {
	Limit Limit
	// Pool is the node that holds the team's tokens, as far as this node knows.
	Pool types.InstanceID
	// Share is the part of the limit that this node holds, and Stock how many tokens.
	Share, Stock float64
	// Demand is the number of requests per second at this node. Held is the number of
	// tokens that it has for them.
	Demand, Held float64
	// Refusing is true if requests were refused lately. RefusedFor is for how long more
	// they are refused without a question to the pool.
	Refusing   bool
	RefusedFor time.Duration
	// Taken counts the requests that were let through, Returned those of them that did
	// not run, and Refused those that were refused. Unanswered counts those among the
	// refused for which the pool did not answer in time.
	Taken, Returned, Refused, Unanswered int64
}

func (ac *account) usage(now time.Time) Usage {
	use := &ac.use
	return Usage{
		Limit: ac.limit, Stock: ac.stock, Demand: use.demand, Held: use.held,
		Refusing: use.refusing, RefusedFor: max(0, use.refusedUntil.Sub(now)),
		Taken: use.taken, Returned: use.returned, Refused: use.refused, Unanswered: use.unanswered,
	}
}

// Usages returns what the node knows about all limits, in the order of the teams' names.
func (lg *Ledger) Usages(now time.Time) []Usage {
	lg.advance(now)
	var all []Usage
	for _, acc := range lg.accounts {
		lg.settle(acc, now)
		usage := acc.usage(now)
		usage.Pool, usage.Share = lg.self, min(1, lg.held[acc.slot])
		if pool := lg.pools[acc.slot]; pool != nil {
			usage.Pool = pool.id
		}
		all = append(all, usage)
	}
	slices.SortFunc(all, func(a, b Usage) int { return cmp.Compare(a.Limit.Team, b.Limit.Team) })
	return all
}

// Changes returns the teams whose requests began or ceased to be refused since the last
// call.
func (lg *Ledger) Changes() []Change {
	changes := lg.changes
	lg.changes = nil
	return changes
}
