package core

import (
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// authenticate returns the team whose key a request on a route shows. The team is empty if
// the configuration requires no keys, or if the route is open and the request shows no key of
// a team. The configuration in force decides, so that a withdrawn key is refused as soon
// as its withdrawal is in force, also on open connections.
func (st *State) authenticate(matched conf.Route, credential types.Option[types.KeyDigest]) (conf.Team, *fault.Error) {
	snapshot := st.config.Current()
	if !snapshot.RequiresKeys() {
		return conf.Team{}, nil
	}
	if digest, ok := credential.Get(); ok {
		if team, known := snapshot.TeamOfKey(digest); known {
			return team, nil
		}
	}
	if matched.Open {
		return conf.Team{}, nil
	}
	if credential.IsSome() {
		return conf.Team{}, fault.New(fault.Unauthenticated, "the key belongs to no team")
	}
	return conf.Team{}, fault.New(fault.Unauthenticated, "route %q needs the key of a team", matched.Name)
}

// withTeam returns a route as it applies to the requests of a team: the team's importance
// replaces the route's.
func withTeam(matched conf.Route, team conf.Team) conf.Route {
	if team.Importance != 0 {
		matched.Importance = team.Importance
	}
	return matched
}
