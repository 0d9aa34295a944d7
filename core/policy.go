package core

import (
	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/route"
)

// BalanceKind names a way to choose among upstreams.
type BalanceKind string

// The ways to choose among upstreams.
const (
	BalanceAdaptive         BalanceKind = "adaptive"
	BalancePeakEWMA         BalanceKind = "peak-ewma"
	BalanceLeastOutstanding BalanceKind = "least-outstanding"
	BalanceJoinIdle         BalanceKind = "join-idle"
	BalanceRoundRobin       BalanceKind = "round-robin"
)

// QueueKind names a way to admit work to the local upstream.
type QueueKind string

// The ways to admit work.
const (
	// QueueShed bounds the queue and sheds by importance.
	QueueShed QueueKind = "shed"
	// QueueFIFO runs work in the order of arrival and sheds nothing.
	QueueFIFO QueueKind = "fifo"
	// QueueNone sends all work to the upstream at once.
	QueueNone QueueKind = "none"
)

// SpreadKind names a way to spread accepted configurations.
type SpreadKind string

// The ways to spread configurations.
const (
	// SpreadDelegates lets a few nodes of a zone watch the platform.
	SpreadDelegates SpreadKind = "delegates"
	// SpreadWatch lets every node watch the platform.
	SpreadWatch SpreadKind = "watch"
)

// Policies select among the alternatives of each decision, so that they can
// be compared.
type Policies struct {
	Balance BalanceKind
	Queue   QueueKind
	Spread  SpreadKind
	// Hedge allows second attempts on the routes that ask for them.
	Hedge bool
}

// DefaultPolicies returns the alternatives in use.
func DefaultPolicies() Policies {
	return Policies{Balance: BalanceAdaptive, Queue: QueueShed, Spread: SpreadDelegates, Hedge: true}
}

// Validate returns an error that names an unknown alternative.
func (p Policies) Validate() error {
	switch p.Balance {
	case BalanceAdaptive, BalancePeakEWMA, BalanceLeastOutstanding, BalanceJoinIdle, BalanceRoundRobin:
	default:
		return fault.New(fault.InvalidInput, "balance %q is not known", p.Balance)
	}
	switch p.Queue {
	case QueueShed, QueueFIFO, QueueNone:
	default:
		return fault.New(fault.InvalidInput, "queue %q is not known", p.Queue)
	}
	switch p.Spread {
	case SpreadDelegates, SpreadWatch:
	default:
		return fault.New(fault.InvalidInput, "spread %q is not known", p.Spread)
	}
	return nil
}

func (p Policies) balance() route.Policy {
	switch p.Balance {
	case BalanceLeastOutstanding:
		return route.LeastOutstanding()
	case BalanceRoundRobin:
		return route.RoundRobin()
	case BalanceJoinIdle:
		return route.JoinIdle()
	case BalancePeakEWMA:
		return route.PeakEWMA()
	default:
		return route.Adaptive()
	}
}

// gateOptions returns the options of the gate, those given explicitly last.
func (se settings) gateOptions() []admit.Option {
	options := []admit.Option{admit.WithSeed(se.seed)}
	switch se.policies.Queue {
	case QueueFIFO:
		options = append(options, admit.WithoutShedding())
	case QueueNone:
		options = append(options, admit.WithoutAdmission())
	default:
	}
	return append(options, se.gate...)
}
