package admin

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/quota"
	"sequoiamill.example/sequoiamill/types"
)

// RolloutTimeout is the time, from when this node adopted a version, within which
// all live nodes should hold that version. A node that takes longer is reported
// as late.
const RolloutTimeout = 10 * time.Second

// View is what a node knows about itself and the other nodes.
type View struct {
	Self    types.InstanceID
	Version types.Version
	// AdoptedAt is when the node adopted Version.
	AdoptedAt time.Time
	// Floor is the lowest version that the node may adopt.
	Floor types.Version
	// Refused describes the version that the node refused last, if any.
	Refused conf.VersionRefused
	Members []fleet.Member
	// Limits is what the node knows about the limits of teams.
	Limits []quota.Usage
}

// LateNodes returns the live nodes, including suspect ones, that hold an older
// version than this node although RolloutTimeout has passed since this node
// adopted its version.
func (v View) LateNodes(now time.Time) []types.InstanceID {
	if now.Sub(v.AdoptedAt) <= RolloutTimeout {
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
