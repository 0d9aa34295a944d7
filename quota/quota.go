// Package quota limits the requests of teams over all nodes together. A limit is a supply
// of tokens, of which each node owns an equal share. Nodes lend their shares for a short
// time to a few of them, the pools, which hold the tokens and grant them to the nodes that
// have requests. What is lent or granted is given up before it is sent: a message that is
// lost loses tokens and never doubles them, so that the limit holds on the sum over all
// nodes, also those that are cut off.
//
// # Usage
//
//	ledger := quota.NewLedger(self, startedAt, seed, quota.DefaultBound())
//	ledger.SetLimits([]quota.Limit{{Team: "ward-7", Rate: 30, Burst: 60}}, now)
//	ledger.SetView(view, now)
//	trades := ledger.Tick(now)
//	decision := ledger.Take("ward-7", now)
package quota

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Bound is the tolerance of a limit: in any Window, at most
// (rate x Window + burst) x (1 + Over) + Slack requests of a team run.
type Bound struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// DefaultBound returns the tolerance that applies if none is set.
func DefaultBound() Bound { return Bound{Window: 5 * time.Second, Over: 0.1, Slack: 20} }

// ceiling is the number of tokens of a limit that may be held anywhere. It leaves a part
// of the tolerance to requests that run later than they were let through.
func (b Bound) ceiling(limit Limit) float64 {
	const part = 0.75
	window := b.Window.Seconds()
	return part * (float64(limit.Burst*(1+b.Over)) + float64(limit.Rate*window*b.Over) + b.Slack)
}

// Limit is the limit of one team: requests per second, and how many more at once.
type Limit struct {
	Team  types.TeamName
	Rate  float64
	Burst float64
}

// Trade is an offer of a node to a peer.
type Trade struct {
	From  types.InstanceID
	Items []Item
	Loan  Loan
}

// Item is the part of a trade that concerns one team: tokens that the sender hands over,
// tokens that it wants for requests that wait, and tokens for requests to come, which it
// gets if there are plenty.
type Item struct {
	Team    types.TeamName
	Deposit float64
	Want    float64
	Ahead   float64
}

// Loan lends the sender's share of the limits to the receiver. It replaces the sender's
// earlier loan to the same receiver.
type Loan struct {
	// Number orders the loans of one sender.
	Number uint64
	// Session is the process of the receiver for which the loan is meant. It is 0 if the
	// sender does not know the receiver's clock yet, and lends nothing.
	Session uint64
	// Slots has one bit for each slot of teams whose share is lent.
	Slots uint64
	// Share is the sender's part of the limits, from 0 to 1.
	Share float64
	// Until is when the loan ends, on the receiver's clock.
	Until time.Duration
}

// Answer is what a node answers to a trade.
type Answer struct {
	Grants []Grant
	// Session identifies the process that answers, and Clock is for how long it has run.
	Session uint64
	Clock   time.Duration
}

// Grant hands tokens of a team to the node that wanted them.
type Grant struct {
	Team   types.TeamName
	Tokens float64
	// Valid is how long the tokens may be used, from when they were asked for.
	Valid time.Duration
	// RetryAfter is when there will be more, if there were fewer than wanted.
	RetryAfter time.Duration
}

// SendTrade is the effect to send a trade to a peer and wait for its answer.
type SendTrade struct {
	Peer    types.InstanceID
	Address types.Address
	Trade   Trade
}

// Effect implements types.Effect.
func (SendTrade) Effect() {}

// ReplyTrade is the effect to answer a trade. Token is that of its TradeReceived.
type ReplyTrade struct {
	Token  uint64
	Answer Answer
}

// Effect implements types.Effect.
func (ReplyTrade) Effect() {}

// TradeReceived reports that a peer sent a trade.
type TradeReceived struct {
	Token uint64
	Trade Trade
}

// Event implements types.Event.
func (TradeReceived) Event() {}

// TradeAnswered reports that a peer answered a trade.
type TradeAnswered struct {
	Peer   types.InstanceID
	Answer Answer
}

// Event implements types.Event.
func (TradeAnswered) Event() {}

// TradeFailed reports that a trade with a peer failed or got no answer in time.
type TradeFailed struct{ Peer types.InstanceID }

// Event implements types.Event.
func (TradeFailed) Event() {}
