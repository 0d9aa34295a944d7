package core

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// aheadWait is how long a node's watch may take to tell of a version that a read has
	// found, until the watches of others count as late as well.
	aheadWait = 80 * time.Millisecond
	// watchBlind is how long a watch tells nothing after it has told of a version, besides
	// the node's pause in watching.
	watchBlind = 300 * time.Millisecond
)

// aheadCheck finds versions that a read has found and that the watches of the platform tell
// late. Such a version spreads ahead of the watches. An ordinary read now and then finds a
// version just before the watches tell of it; peers then wait for their own.
type aheadCheck struct {
	// toldAt is when the watch last told of a version that was not below the one in force.
	toldAt time.Time
	// read is the version in force if a read has found it and the watch has not told of it
	// since, or 0. It was adopted at readAt.
	read   types.Version
	readAt time.Time
}

// noteOffer notes a configuration that was read from the platform. adopted is true if it is
// now in force.
func (ac *aheadCheck) noteOffer(offer conf.VersionOffered, adopted bool, inForce types.Version, now time.Time) {
	version := offer.Version
	if offer.Snapshot.Version() != 0 {
		version = offer.Snapshot.Version()
	}
	switch {
	case !offer.FromPlatform:
		if adopted {
			ac.read = 0
		}
	case offer.Reading == conf.ReadByWatch && version >= inForce:
		ac.toldAt, ac.read = now, 0
	case adopted:
		ac.read, ac.readAt = 0, now
		if offer.Reading == conf.ReadByPoll {
			ac.read = version
		}
	}
}

// due reports whether the watch is late with the version that a read has found. The pause is
// that of the node between two watches.
func (ac *aheadCheck) due(pause time.Duration, now time.Time) bool {
	if ac.read == 0 {
		return false
	}
	from := ac.readAt
	if told := ac.toldAt.Add(pause + watchBlind); told.After(from) {
		from = told
	}
	return now.Sub(from) >= aheadWait
}

// spreadAhead lets the version in force spread ahead of the watches if these are late.
func (st *State) spreadAhead(now time.Time) []types.Effect {
	if !st.ahead.due(st.fleet.WatchPause(), now) {
		return nil
	}
	st.ahead.read = 0
	return st.fleet.SpreadAhead(now)
}
