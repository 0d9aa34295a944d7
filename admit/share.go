package admit

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// usualPeriod is the time constant of what counts as the usual demand of a team.
	usualPeriod = 10 * time.Minute
	// recentPeriod is the time constant of the recent demand of a team.
	recentPeriod = 2 * time.Second
	// A team is in a surge if its part of the recent demand is above surgeFactor times
	// its part of the usual demand, by more than surgeItems work items.
	surgeFactor = 1.5
	surgeItems  = 4
	// surgeLimit is the time after which what a team asks in a surge counts as usual.
	surgeLimit = 5 * time.Minute
	// leastPart is added to the usual demand of each team, as a fraction of the mean
	// over the teams, so that a new team has a share.
	leastPart = 0.25
	// guaranteedPart is the part of a team's share that no rank takes away.
	guaranteedPart = 0.4
	// leastFraction is the part of the mean fraction of its demand that a team is given at
	// least. givenPeriod is the time constant of these fractions. Less than givenItems
	// work items within it are no evidence.
	leastFraction = 0.32
	givenPeriod   = 10 * time.Second
	givenItems    = 4
	// guaranteeMemory bounds how long work that a team got before makes it wait for its
	// guaranteed part.
	guaranteeMemory = 2 * time.Second
	// A team may be ahead of its share by toleranceTime and toleranceItems work items
	// before its work waits for that of others.
	toleranceTime  = time.Second
	toleranceItems = 8
	// maxTeams is the number of teams with a record. All further ones share one.
	maxTeams = 256
	// idleTeam is the time after which a record without new work may be dropped for
	// another team.
	idleTeam = time.Minute
	// surplusPenalty is added to the rank of the work of a team in a surge, so that it
	// runs after all other work.
	surplusPenalty = 1e3
)

// surplusLevels is how many levels of importance the work of a team in a surge loses. All
// of it then counts less than any other work.
const surplusLevels = conf.Critical + 1

// shares divides the slots between teams by weighted fair queueing on expected work,
// with the virtual time of WF2Q+ (Bennett and Zhang, 1997). A team's weight is its part
// of the usual demand. Times are in seconds.
type shares struct {
	teams map[types.TeamName]*teamShare
	// others is the record of the teams beyond maxTeams.
	others teamShare
	// virtual is the virtual time. It runs at least as fast as the clock, and as fast
	// as the waiting team that is least ahead of its share.
	virtual float64
	clock   float64
	at      time.Time
	usual   meter
	recent  meter
	given   service
}

// teamShare is what a team asked for and got.
type teamShare struct {
	usual, recent meter
	given         service
	// surging is true while the team is in a surge. calmAt is when it last was in none.
	surging bool
	calmAt  time.Time
	// finish is the virtual time at which the team has used its share for all work
	// that it was given.
	finish float64
	// guaranteed is the time on the clock at which the team has used its guaranteed
	// part for that work.
	guaranteed float64
}

// meter sums values that fade with a time constant.
type meter struct {
	sum float64
	at  time.Time
}

func (me *meter) value(period time.Duration, now time.Time) float64 {
	if elapsed := now.Sub(me.at); elapsed > 0 {
		me.sum *= math.Exp(-elapsed.Seconds() / period.Seconds())
		me.at = now
	}
	return me.sum
}

func (me *meter) add(value float64, period time.Duration, now time.Time) {
	me.sum = me.value(period, now) + value
}

// service is the work that was asked for and the part of it that was given.
type service struct{ asked, given meter }

// ask records a demand.
func (se *service) ask(cost float64, now time.Time) {
	se.asked.add(cost, givenPeriod, now)
	se.given.add(0, givenPeriod, now)
}

func (se *service) fraction() float64 { return se.given.sum / se.asked.sum }

// ticket is a work item's place in the order of the shares. The zero value is that of
// work that shares with nobody.
type ticket struct {
	team *teamShare
	// rate is the number of slots that the team's share was on arrival.
	rate float64
	cost float64
	// start is the virtual time at which the team's share reaches the work item.
	start float64
	// guaranteed is true if the work item belongs to the guaranteed part of the team's
	// share.
	guaranteed bool
}

func newShares(now time.Time) *shares {
	return &shares{teams: map[types.TeamName]*teamShare{}, at: now}
}

// advance moves the virtual time with the clock.
func (sh *shares) advance(now time.Time) {
	if elapsed := now.Sub(sh.at).Seconds(); elapsed > 0 {
		sh.clock += elapsed
		sh.virtual += elapsed
		sh.at = now
	}
}

// arrive records the demand of a team and returns the ticket of its work item.
func (sh *shares) arrive(name types.TeamName, expected time.Duration, slots int, now time.Time) ticket {
	sh.advance(now)
	team, cost := sh.team(name, now), max(expected, time.Microsecond).Seconds()
	part := sh.learn(team, cost, now)
	tk := ticket{team: team, cost: cost, rate: part * float64(max(slots, 1))}
	tolerance := toleranceTime.Seconds() + toleranceItems*cost/tk.rate
	tk.start = max(team.finish, sh.virtual-tolerance)
	team.given.ask(cost, now)
	sh.given.ask(cost, now)
	behind := team.given.asked.sum > givenItems*cost && team.given.fraction() < leastFraction*sh.given.fraction()
	tk.guaranteed = behind || team.guaranteed <= sh.clock
	return tk
}

// learn records the demand of a team and returns the team's part of the usual demand. Of
// what a team asks in a surge, only its part counts as usual.
func (sh *shares) learn(team *teamShare, cost float64, now time.Time) float64 {
	team.recent.add(cost, recentPeriod, now)
	sh.recent.add(cost, recentPeriod, now)
	team.usual.add(0, usualPeriod, now)
	sh.usual.add(0, usualPeriod, now)
	part := sh.part(team)
	expected := float64(surgeFactor * part * sh.recent.sum)
	team.surging = team.recent.sum > expected+float64(surgeItems*cost)
	if !team.surging || team.calmAt.IsZero() {
		team.calmAt = now
	}
	usual := cost
	if team.surging && now.Sub(team.calmAt) < surgeLimit {
		usual *= expected / team.recent.sum / surgeFactor
	}
	team.usual.add(usual, usualPeriod, now)
	sh.usual.add(usual, usualPeriod, now)
	return part
}

// part returns a team's part of the usual demand. The meters are up to date.
func (sh *shares) part(team *teamShare) float64 {
	if sh.usual.sum == 0 {
		return 1
	}
	least := leastPart * sh.usual.sum / float64(max(len(sh.teams), 1))
	return (team.usual.sum + least) / (sh.usual.sum * (1 + leastPart))
}

// take charges the team for a work item that runs or joins the queue.
func (sh *shares) take(tk ticket) {
	if tk.team == nil {
		return
	}
	tk.team.finish = tk.start + tk.cost/tk.rate
	sh.give(tk, tk.cost)
	part := tk.cost / (guaranteedPart * tk.rate)
	tk.team.guaranteed = min(max(tk.team.guaranteed, sh.clock-part)+part, sh.clock+guaranteeMemory.Seconds()+part)
}

// give records that a work item was given the slots for some time.
func (sh *shares) give(tk ticket, seconds float64) {
	tk.team.given.given.sum += seconds
	sh.given.given.sum += seconds
}

// correct charges the team for what a work item used in place of what was expected.
func (sh *shares) correct(tk ticket, used time.Duration) {
	if tk.team == nil {
		return
	}
	sh.give(tk, used.Seconds()-tk.cost)
	more := (used.Seconds() - tk.cost) / tk.rate
	tk.team.finish += more
	tk.team.guaranteed += more / guaranteedPart
}

// reach moves the virtual time on to the start of a work item if no other one is
// behind it, so that a team alone isn't charged for what others leave.
func (sh *shares) reach(start float64) { sh.virtual = max(sh.virtual, start) }

// ahead returns by how much a work item is ahead of its team's share, in seconds.
func (sh *shares) ahead(tk ticket) float64 {
	if tk.team == nil {
		return 0
	}
	return max(0, tk.start-sh.virtual)
}

// level returns the importance with which work counts. The guaranteed part of each
// team's share counts as critical. The rest of the work of a team in a surge counts less
// than all other work.
func (sh *shares) level(tk ticket, importance conf.Importance) conf.Importance {
	switch {
	case tk.team == nil:
		return importance
	case tk.guaranteed:
		return conf.Critical
	case tk.team.surging:
		return importance - surplusLevels
	default:
		return importance
	}
}

// team returns the record of a team. It drops the records of idle teams where there
// are too many.
func (sh *shares) team(name types.TeamName, now time.Time) *teamShare {
	if team, ok := sh.teams[name]; ok {
		return team
	}
	if len(sh.teams) >= maxTeams && !sh.dropIdle(now) {
		return &sh.others
	}
	team := &teamShare{}
	sh.teams[name] = team
	return team
}

// dropIdle drops the record that has been idle for longest, and reports whether there
// was one.
func (sh *shares) dropIdle(now time.Time) bool {
	var oldest types.TeamName
	var found *teamShare
	for name, team := range sh.teams {
		if now.Sub(team.usual.at) > idleTeam && (found == nil || team.usual.at.Before(found.usual.at)) {
			oldest, found = name, team
		}
	}
	if found == nil {
		return false
	}
	sh.usual.sum = max(0, sh.usual.value(usualPeriod, now)-found.usual.value(usualPeriod, now))
	delete(sh.teams, oldest)
	return true
}
