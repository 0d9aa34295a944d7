package core

import (
	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/route"
)

// BalanceKind names a load-balancing algorithm.
type BalanceKind string

// The load-balancing algorithms.
const (
	BalanceAdaptive         BalanceKind = "adaptive"
	BalancePeakEWMA         BalanceKind = "peak-ewma"
	BalanceLeastOutstanding BalanceKind = "least-outstanding"
	BalanceJoinIdle         BalanceKind = "join-idle"
	BalanceRoundRobin       BalanceKind = "round-robin"
)

// QueueKind names a kind of admission control for the local upstream.
type QueueKind string

// The kinds of admission control.
const (
	// QueueShed bounds the queue and sheds the least important work first.
	QueueShed QueueKind = "shed"
	// QueueFIFO runs work in the order of arrival, with an unbounded queue.
	QueueFIFO QueueKind = "fifo"
	// QueueNone sends all work to the upstream immediately, without a queue.
	QueueNone QueueKind = "none"
)

// SpreadKind names a way to distribute accepted configurations to the nodes.
type SpreadKind string

// The ways to distribute configurations.
const (
	// SpreadDelegates lets a few nodes of each zone watch the platform. The others
	// get the configuration from their peers.
	SpreadDelegates SpreadKind = "delegates"
	// SpreadWatch lets every node watch the platform.
	SpreadWatch SpreadKind = "watch"
)

// Policies selects the algorithm of each decision that has alternatives. The
// alternatives exist for comparison in experiments.
type Policies struct {
	Balance BalanceKind
	Queue   QueueKind
	Spread  SpreadKind
	// Hedge allows hedged requests on the routes that are configured for them.
	Hedge bool
}

// DefaultPolicies returns the default algorithms.
func DefaultPolicies() Policies {
	return Policies{Balance: BalanceAdaptive, Queue: QueueShed, Spread: SpreadDelegates, Hedge: true}
}

// Validate returns an error if a policy has an unknown name.
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

func (p Policies) balancePolicy() route.Policy {
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

// admissionOptions returns the options of admission control. Those set with
// WithAdmission come last, so that they override the others.
func (se settings) admissionOptions() []admit.Option {
	options := []admit.Option{admit.WithSeed(se.seed)}
	switch se.policies.Queue {
	case QueueFIFO:
		options = append(options, admit.WithoutShedding())
	case QueueNone:
		options = append(options, admit.WithoutAdmission())
	default:
	}
	return append(options, se.admission...)
}
