package conf

import (
	"math"
	"strconv"

	"sequoiamill.example/sequoiamill/types"
)

// maxRate is the highest limit to the requests per second of a team.
const maxRate = 1e9

// Team is a group of callers that shares keys, a rank and a limit.
type Team struct {
	Name types.TeamName
	// Keys are the digests of the keys by which the team's callers are known. A team
	// without keys has no callers.
	Keys []types.KeyDigest
	// Importance replaces the importance of the routes for the team's requests. 0
	// leaves the route's in force.
	Importance Importance
	// Rate is the number of requests per second that the team may send, over all nodes
	// together; 0 is no limit. Burst is how many more it may send at once.
	Rate  float64
	Burst float64
}

// Limited reports whether the team has a limit to its requests.
func (t Team) Limited() bool { return t.Rate > 0 }

// RequiresKeys reports whether each request needs the key of a team, unless its route is
// open. A configuration that requires keys and has no teams lets nobody in elsewhere.
func (s Snapshot) RequiresKeys() bool { return s.config.RequiresKeys() }

// RequiresKeys is like Snapshot.RequiresKeys.
func (c Config) RequiresKeys() bool { return c.RequireKeys || len(c.Teams) > 0 }

// Teams returns all teams in the order of the configuration.
func (s Snapshot) Teams() []Team { return s.config.Teams }

// TeamOfKey returns the team that holds a key, or false if none does.
func (s Snapshot) TeamOfKey(key types.KeyDigest) (Team, bool) {
	index, ok := s.teamsByKey[key]
	if !ok {
		return Team{}, false
	}
	return s.config.Teams[index], true
}

// Team returns the team with the given name, or false if there is none.
func (s Snapshot) Team(name types.TeamName) (Team, bool) {
	index, ok := s.teamsByName[name]
	if !ok {
		return Team{}, false
	}
	return s.config.Teams[index], true
}

func (s *Snapshot) indexTeams() {
	if len(s.config.Teams) == 0 {
		return
	}
	s.teamsByKey, s.teamsByName = map[types.KeyDigest]int{}, map[types.TeamName]int{}
	for i, team := range s.config.Teams {
		s.teamsByName[team.Name] = i
		for _, key := range team.Keys {
			s.teamsByKey[key] = i
		}
	}
}

// checkTeams checks the teams. The messages name a key by the team that holds it and
// its place there, never by its digest.
func (c *checker) checkTeams(teams []Team) {
	holders := map[types.KeyDigest]string{}
	for _, team := range teams {
		key := Key{TeamKind, string(team.Name)}
		c.checkName(key)
		if team.Importance != 0 && (team.Importance < Low || team.Importance > Critical) {
			c.addFault(key, "importance must be low, normal, high or critical")
		}
		if !inRange(team.Rate) || !inRange(team.Burst) {
			c.addFault(key, "rate and burst must be from 0 to "+strconv.Itoa(maxRate))
		}
		if team.Rate == 0 && team.Burst > 0 {
			c.addFault(key, "burst needs a rate")
		}
		for number, digest := range team.Keys {
			place := "key " + strconv.Itoa(number+1)
			if digest == types.DigestKey("") {
				c.addFault(key, place+" is empty")
			}
			if holder, taken := holders[digest]; taken {
				c.addFault(key, place+" is also "+holder)
			}
			holders[digest] = place + " of team " + strconv.Quote(string(team.Name))
		}
	}
}

func inRange(rate float64) bool { return rate >= 0 && rate <= maxRate && !math.IsNaN(rate) }
