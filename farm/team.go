package farm

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

// Team is a team of callers in an experiment.
type Team struct {
	Name       types.TeamName
	Importance conf.Importance
	// Demand returns the team's demand as a share of the upstreams' total capacity.
	// Its argument is the time since the start of the experiment.
	Demand func(since time.Duration) float64
	// Repeats is how often a caller sends a refused call again at once, as a new call.
	Repeats int
}

// demandOfTeams returns the sum of the teams' demands.
func demandOfTeams(teams []Team) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		total := 0.0
		for _, team := range teams {
			total += team.Demand(since)
		}
		return total
	}
}

// assignTeam draws the team of a new call, with a chance in proportion to the teams'
// demand.
func (ex *experiment) assignTeam(cl *Call) {
	if len(ex.Teams) == 0 {
		return
	}
	since := ex.clock.now.Sub(ex.start)
	left := ex.rng.Float64() * ex.Demand(since)
	for _, team := range ex.Teams {
		cl.team = team
		if left -= team.Demand(since); left < 0 {
			break
		}
	}
	cl.Team, cl.Importance = cl.team.Name, cl.team.Importance
}

// repeat sends a refused call again as a new one if its caller does so.
func (ex *experiment) repeat(cl *Call) {
	if cl.repeats >= cl.team.Repeats {
		return
	}
	again := &Call{
		Team: cl.Team, Importance: cl.Importance, Long: cl.Long, ArrivedAt: ex.clock.now, Repeat: true,
		Deadline: ex.clock.now.Add(cl.Deadline.Sub(cl.ArrivedAt)),
		balancer: cl.balancer, route: cl.route, remaining: ex.candidates(), work: cl.work, team: cl.team, repeats: cl.repeats + 1,
	}
	ex.calls = append(ex.calls, again)
	ex.attempt(again)
	ex.clock.after(again.Deadline.Sub(again.ArrivedAt), func() { again.cancel() })
}

// OfTeam selects the calls of a team.
func OfTeam(name types.TeamName) Filter {
	return func(cl *Call) bool { return cl.Team == name }
}

// Not selects the calls that a filter doesn't.
func (fl Filter) Not() Filter { return func(cl *Call) bool { return !fl(cl) } }

// Work returns the sum of the durations of the selected calls' work that was done in
// time.
func (re Result) Work(filter Filter) time.Duration {
	total := time.Duration(0)
	for _, cl := range re.Calls {
		if filter(cl) && cl.InTime() {
			total += cl.work
		}
	}
	return total
}
