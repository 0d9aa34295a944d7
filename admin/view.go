package admin

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

// AgreedTime is the time in which an accepted version is to be in force
// everywhere.
const AgreedTime = 10 * time.Second

// View is what a node knows of itself and the fleet.
type View struct {
	Self    types.InstanceID
	Version types.Version
	// Since is when the node adopted the version.
	Since   time.Time
	Floor   types.Version
	Refused conf.Refused
	Members []fleet.Member
}

// Late returns the live nodes that do not hold the version though the agreed
// time has passed.
func (v View) Late(now time.Time) []types.InstanceID {
	if now.Sub(v.Since) <= AgreedTime {
		return nil
	}
	var late []types.InstanceID
	for _, member := range v.Members {
		live := member.Status == fleet.Alive || member.Status == fleet.Suspect
		if live && member.HeldVersion < v.Version {
			late = append(late, member.ID)
		}
	}
	return late
}
