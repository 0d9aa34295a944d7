package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// hedgeRatio is the number of hedge tokens that each request adds. A hedge uses
	// up one token.
	hedgeRatio = 0.05
	// hedgeBurst is the maximum number of hedge tokens.
	hedgeBurst = 10

	// budgetFraction is the fraction of the budget that the nodes use. The rest is
	// a reserve: the nodes' windows do not start at the same time, and the nodes
	// may disagree on the number of nodes.
	budgetFraction = 0.6
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 10

	// hedgePause is how long no hedges are sent after a refusal for overload.
	hedgePause = time.Second

	// maxBudgetTeams is the number of teams of a service whose requests are counted
	// apart. All further ones count together.
	maxBudgetTeams = 256
)

// RetryBudget is the retry budget of a service. In any time window of length
// Window, all nodes together send at most Ratio times the number of requests
// plus Slack additional attempts (retries and hedges).
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// DefaultRetryBudget returns the budget that applies if none is configured.
func DefaultRetryBudget() RetryBudget {
	return RetryBudget{Ratio: 0.1, Window: 10 * time.Second, Slack: 20}
}

// perNode returns the part of the budget that one of several nodes may use. Each
// node counts its own requests, so only Slack is divided by the number of nodes.
// Both Ratio and Slack are reduced to budgetFraction.
func (bu RetryBudget) perNode(nodes int) RetryBudget {
	bu.Ratio *= budgetFraction
	bu.Slack = float64(bu.Slack * budgetFraction / float64(nodes))
	return bu
}

// allows reports whether the budget allows one more additional attempt.
func (bu RetryBudget) allows(requests, repeats float64) bool {
	return repeats+1 <= float64(bu.Ratio*requests)+bu.Slack
}

// slidingWindow counts the events in the most recent time window.
type slidingWindow struct {
	bucketLength time.Duration
	counts       [windowBuckets + 1]float64
	latestBucket int64
}

func newSlidingWindow(length time.Duration) slidingWindow {
	return slidingWindow{bucketLength: max(length/windowBuckets, time.Millisecond)}
}

// advance clears the buckets that are older than the window.
func (sw *slidingWindow) advance(now time.Time) {
	current := now.UnixNano() / int64(sw.bucketLength)
	for ; sw.latestBucket < current; sw.latestBucket++ {
		if current-sw.latestBucket > int64(len(sw.counts)) {
			sw.latestBucket = current - int64(len(sw.counts))
		}
		sw.counts[(sw.latestBucket+1)%int64(len(sw.counts))] = 0
	}
}

func (sw *slidingWindow) add(now time.Time) {
	sw.advance(now)
	sw.counts[sw.latestBucket%int64(len(sw.counts))]++
}

func (sw *slidingWindow) sum(now time.Time) float64 {
	sw.advance(now)
	total := 0.0
	for _, count := range sw.counts {
		total += count
	}
	return total
}

// tokenBucket is a token bucket that limits the hedges.
type tokenBucket struct {
	tokens float64
	burst  float64
}

func (bk *tokenBucket) credit(tokens float64) { bk.tokens = min(bk.burst, bk.tokens+tokens) }

// take removes a token and reports whether there was one.
func (bk *tokenBucket) take() bool {
	if bk.tokens < 1 {
		return false
	}
	bk.tokens--
	return true
}

// serviceBudget limits the additional attempts at one service.
type serviceBudget struct {
	requests slidingWindow
	repeats  slidingWindow
	hedges   tokenBucket
	// lastOverload is when an owner node last refused a request as overloaded.
	lastOverload time.Time
	// teams holds the counts of each team. It is nil as long as no team sent a
	// request; then all requests share the budget.
	teams map[types.TeamName]*teamBudget
}

// teamBudget counts the requests and additional attempts of one team.
type teamBudget struct {
	requests, repeats slidingWindow
}

func newServiceBudget(window time.Duration) *serviceBudget {
	return &serviceBudget{requests: newSlidingWindow(window), repeats: newSlidingWindow(window), hedges: tokenBucket{burst: hedgeBurst}}
}

func (sb *serviceBudget) addRequest(team types.TeamName, now time.Time) {
	sb.requests.add(now)
	if team != "" || sb.teams != nil {
		sb.team(team, now).requests.add(now)
	}
}

// team returns the counts of a team. It drops those of idle teams where there are too
// many.
func (sb *serviceBudget) team(name types.TeamName, now time.Time) *teamBudget {
	if sb.teams == nil {
		sb.teams = map[types.TeamName]*teamBudget{}
	}
	if team, ok := sb.teams[name]; ok {
		return team
	}
	if len(sb.teams) >= maxBudgetTeams {
		for idle, team := range sb.teams {
			if team.requests.sum(now) == 0 && team.repeats.sum(now) == 0 {
				delete(sb.teams, idle)
			}
		}
	}
	if len(sb.teams) >= maxBudgetTeams {
		name = ""
	}
	team, ok := sb.teams[name]
	if !ok {
		window := sb.requests.bucketLength * windowBuckets
		team = &teamBudget{requests: newSlidingWindow(window), repeats: newSlidingWindow(window)}
		sb.teams[name] = team
	}
	return team
}

// allowsTeam reports whether a team's part of the budget allows one more additional
// attempt. A team's part is that of its requests; each team may always send one.
func (sb *serviceBudget) allowsTeam(name types.TeamName, budget RetryBudget, now time.Time) bool {
	if sb.teams == nil {
		return true
	}
	team := sb.team(name, now)
	requests, repeats := team.requests.sum(now), team.repeats.sum(now)
	budget.Slack = float64(budget.Slack * requests / max(sb.requests.sum(now), 1))
	return repeats == 0 || budget.allows(requests, repeats)
}

// takeRepeat counts one additional attempt of a team if the budget and the team's part of
// it allow it, and reports whether they do.
func (sb *serviceBudget) takeRepeat(team types.TeamName, budget RetryBudget, now time.Time) bool {
	if !budget.allows(sb.requests.sum(now), sb.repeats.sum(now)) || !sb.allowsTeam(team, budget, now) {
		return false
	}
	sb.repeats.add(now)
	if sb.teams != nil {
		sb.team(team, now).repeats.add(now)
	}
	return true
}

// overloaded reports whether an owner node refused a request as overloaded within
// the last hedgePause.
func (sb *serviceBudget) overloaded(now time.Time) bool {
	return !sb.lastOverload.IsZero() && now.Sub(sb.lastOverload) < hedgePause
}
