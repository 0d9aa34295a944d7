package node

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/quota"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// tradeTimeout is the deadline of one trade with a peer. It is as long as a call waits
	// for the answer.
	tradeTimeout = 300 * time.Millisecond
	// maxTeamMetrics is the number of teams that have metrics of their own. The others
	// count as one.
	maxTeamMetrics = 64
	otherTeams     = "other-teams"
)

// runTradeEffect carries out an effect of the limits of teams. It reports whether it
// handles effects of this type.
func (nd *Node) runTradeEffect(effect types.Effect) bool {
	switch ef := effect.(type) {
	case quota.SendTrade:
		go nd.sendTrade(ef)
	case quota.ReplyTrade:
		nd.tradeWaiters.deliver(ef.Token, ef.Answer)
	default:
		return false
	}
	return true
}

// serveTrade answers a peer's trade of tokens of teams' limits.
func (nd *Node) serveTrade(_ context.Context, offer quota.Trade) (quota.Answer, error) {
	token, answer := nd.tradeWaiters.add()
	nd.loop.post(quota.TradeReceived{Token: token, Trade: offer})
	select {
	// post has already run all effects of the trade, as with serveExchange.
	case reply := <-answer:
		return reply, nil
	default:
		return quota.Answer{}, fault.New(fault.NotReady, "the node takes no part in limits")
	}
}

func (nd *Node) sendTrade(effect quota.SendTrade) {
	ctx, cancel := context.WithTimeout(nd.runCtx, tradeTimeout)
	defer cancel()
	answer, err := nd.peers.Trade(ctx, effect.Address, effect.Trade)
	if err != nil {
		nd.loop.post(quota.TradeFailed{Peer: effect.Peer})
		return
	}
	nd.loop.post(quota.TradeAnswered{Peer: effect.Peer, Answer: answer})
}

// teamMetrics are the names of the metrics of a team and their values.
var teamMetrics = []struct {
	name  string
	value func(usage quota.Usage) float64
}{
	{"sequoiamill_team_limit", func(usage quota.Usage) float64 { return usage.Limit.Rate }},
	{"sequoiamill_team_demand", func(usage quota.Usage) float64 { return usage.Demand }},
	{"sequoiamill_team_let_through_total", func(usage quota.Usage) float64 { return float64(usage.Taken) }},
	{"sequoiamill_team_not_run_total", func(usage quota.Usage) float64 { return float64(usage.Returned) }},
	{`sequoiamill_team_refused_total{cause="limit"}`, func(usage quota.Usage) float64 { return float64(usage.Refused - usage.Unanswered) }},
	{`sequoiamill_team_refused_total{cause="unanswered"}`, func(usage quota.Usage) float64 { return float64(usage.Unanswered) }},
}

// writeLimits writes the metrics of the teams that have a limit.
func (nd *Node) writeLimits(writer io.Writer) {
	var usages []quota.Usage
	nd.loop.read(func(state *core.State) { usages = state.Limits(nd.now()) })
	if len(usages) == 0 {
		return
	}
	set := metrics.NewSet()
	for i, usage := range usages {
		name := string(usage.Limit.Team)
		if i >= maxTeamMetrics {
			name = otherTeams
		}
		for _, metric := range teamMetrics {
			set.GetOrCreateFloatCounter(labelled(metric.name, name)).Add(metric.value(usage))
		}
	}
	set.WritePrometheus(writer)
}

// labelled adds the label of a team to the name of a metric.
func labelled(name, team string) string {
	label := "team=" + strconv.Quote(team) + "}"
	if labels, ok := strings.CutSuffix(name, "}"); ok {
		return labels + "," + label
	}
	return name + "{" + label
}
