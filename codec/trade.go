package codec

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/api/peerv1"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/quota"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxTradeItems is the maximum number of teams in one trade.
	maxTradeItems = 4096
	// maxTokens is the maximum number of tokens that one item of a trade moves.
	maxTokens = 1e9
)

// TradeToProto converts a trade to its form in the peers' protocol.
func TradeToProto(offer quota.Trade) *peerv1.TradeRequest {
	wire := &peerv1.TradeRequest{Instance: string(offer.From), Loan: loanToProto(offer.Loan)}
	for _, item := range offer.Items {
		wire.Items = append(wire.Items, &peerv1.TradeItem{Team: string(item.Team), Deposit: item.Deposit, Want: item.Want, Ahead: item.Ahead})
	}
	return wire
}

// TradeFromProto converts a trade from its form in the peers' protocol.
func TradeFromProto(wire *peerv1.TradeRequest) (quota.Trade, error) {
	if wire.GetInstance() == "" || len(wire.GetInstance()) > maxNameLength || len(wire.GetItems()) > maxTradeItems {
		return quota.Trade{}, fault.New(fault.InvalidInput, "trade: the sender's name is invalid, or there are more than %d items", maxTradeItems)
	}
	loan := quota.Loan{
		Number: wire.GetLoan().GetNumber(), Session: wire.GetLoan().GetSession(), Slots: wire.GetLoan().GetSlots(),
		Share: wire.GetLoan().GetShare(), Until: time.Duration(wire.GetLoan().GetUntilMicros()) * time.Microsecond,
	}
	if !(loan.Share >= 0 && loan.Share <= 1) {
		return quota.Trade{}, fault.New(fault.InvalidInput, "trade: the share is not between 0 and 1")
	}
	offer := quota.Trade{From: types.InstanceID(wire.GetInstance()), Loan: loan}
	for _, item := range wire.GetItems() {
		if !isTeam(item.GetTeam()) || !isTokens(item.GetDeposit()) || !isTokens(item.GetWant()) || !isTokens(item.GetAhead()) {
			return quota.Trade{}, fault.New(fault.InvalidInput, "trade: an item names no valid team or number of tokens")
		}
		offer.Items = append(offer.Items, quota.Item{Team: types.TeamName(item.GetTeam()), Deposit: item.GetDeposit(), Want: item.GetWant(), Ahead: item.GetAhead()})
	}
	return offer, nil
}

// TeamStatusToProto converts what a node knows about a team's limit to its form in the
// operators' API.
func TeamStatusToProto(usage quota.Usage) *opsv1.TeamStatus {
	return &opsv1.TeamStatus{
		Team: string(usage.Limit.Team), Rate: usage.Limit.Rate, Burst: usage.Limit.Burst, Pool: string(usage.Pool),
		Share: usage.Share, Tokens: usage.Stock + usage.Held, Demand: usage.Demand, Refusing: usage.Refusing,
		LetThrough: uint64(usage.Taken), NotRun: uint64(usage.Returned), Refused: uint64(usage.Refused), Unanswered: uint64(usage.Unanswered),
	}
}

func loanToProto(loan quota.Loan) *peerv1.Loan {
	return &peerv1.Loan{Number: loan.Number, Session: loan.Session, Slots: loan.Slots, Share: loan.Share, UntilMicros: loan.Until.Microseconds()}
}

// AnswerToProto converts the answer to a trade to its form in the peers' protocol.
func AnswerToProto(answer quota.Answer) *peerv1.TradeResponse {
	wire := &peerv1.TradeResponse{Session: answer.Session, ClockMicros: answer.Clock.Microseconds()}
	for _, grant := range answer.Grants {
		wire.Grants = append(wire.Grants, &peerv1.TradeGrant{
			Team: string(grant.Team), Tokens: grant.Tokens, ValidMillis: grant.Valid.Milliseconds(), RetryMillis: grant.RetryAfter.Milliseconds(),
		})
	}
	return wire
}

// AnswerFromProto converts the answer to a trade from its form in the peers' protocol.
func AnswerFromProto(wire *peerv1.TradeResponse) (quota.Answer, error) {
	if len(wire.GetGrants()) > maxTradeItems {
		return quota.Answer{}, fault.New(fault.InvalidInput, "trade: more than %d grants", maxTradeItems)
	}
	answer := quota.Answer{Session: wire.GetSession(), Clock: time.Duration(wire.GetClockMicros()) * time.Microsecond}
	for _, grant := range wire.GetGrants() {
		if !isTeam(grant.GetTeam()) || !isTokens(grant.GetTokens()) {
			return quota.Answer{}, fault.New(fault.InvalidInput, "trade: a grant names no valid team or number of tokens")
		}
		answer.Grants = append(answer.Grants, quota.Grant{
			Team: types.TeamName(grant.GetTeam()), Tokens: grant.GetTokens(),
			Valid: max(0, ageFromProto(grant.GetValidMillis())), RetryAfter: max(0, ageFromProto(grant.GetRetryMillis())),
		})
	}
	return answer, nil
}

func isTeam(name string) bool { return name != "" && len(name) <= maxDeclaredLength }

func isTokens(tokens float64) bool { return tokens >= 0 && tokens <= maxTokens && !math.IsNaN(tokens) }
