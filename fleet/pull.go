package fleet

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxSources bounds the number of peers kept as sources of a wanted version.
	maxSources          = 8
	minPullBackoff      = 100 * time.Millisecond
	maxPullBackoff      = 5 * time.Second
	maxPullBackoffShift = 6
	// watchPausePerMember and maxWatchPause determine WatchPause.
	watchPausePerMember = 4 * time.Millisecond
	maxWatchPause       = 1200 * time.Millisecond
	// maxPullJitter bounds the random delay before the next source is asked.
	maxPullJitter = 50 * time.Millisecond
	// pullPatience is how long a pull may take before another peer is asked as well.
	pullPatience = 400 * time.Millisecond
	// maxPulls bounds the number of pulls in flight.
	maxPulls = 4
	// promptTime is how long a node pushes a version that spreads ahead of the watches.
	promptTime = time.Second
)

// wantedVersion tracks the newest configuration version that this node knows of
// but does not have, and the attempts to pull it. Its sources are the peers that
// reported the version.
type wantedVersion struct {
	version types.Version
	sources []types.InstanceID
	// pulls are the pulls in flight, the latest last. They may be of earlier versions.
	pulls    []pull
	failures int
	nextPull time.Time
	// prompt is true if the version spreads ahead of the watches.
	prompt bool
}

type pull struct {
	peer types.InstanceID
	// until is when another peer is asked as well.
	until time.Time
}

// clearUpTo clears the wanted version if it is the given version or an older
// one.
func (wv *wantedVersion) clearUpTo(version types.Version) {
	if version >= wv.version {
		*wv = wantedVersion{pulls: wv.pulls}
	}
}

// pullsFrom reports whether a pull from a peer is in flight.
func (wv *wantedVersion) pullsFrom(peer types.InstanceID) bool {
	return slices.ContainsFunc(wv.pulls, func(pl pull) bool { return pl.peer == peer })
}

func (wv *wantedVersion) addSource(source types.InstanceID) {
	if len(wv.sources) < maxSources && !slices.Contains(wv.sources, source) {
		wv.sources = append(wv.sources, source)
	}
}

// noteVersion records that a peer has a version which this node lacks, and starts
// a pull if one is due. A version that spreads ahead of the watches is pulled at once.
func (tb *Table) noteVersion(version types.Version, source types.InstanceID, prompt bool, now time.Time) []types.Effect {
	if version <= tb.version || version < tb.wanted.version {
		return nil
	}
	effects := tb.learnVersion(version, source, now)
	tb.wanted.addSource(source)
	if prompt && !tb.wanted.prompt {
		tb.wanted.prompt = true
		tb.wanted.nextPull = tb.notBeforePull(now)
	}
	return append(effects, tb.tryPull(now)...)
}

// learnVersion records that a member has a version which this node lacks. The member does
// not become a source: where all heard of the same few holders, these would have to serve
// all.
func (tb *Table) learnVersion(version types.Version, holder types.InstanceID, now time.Time) []types.Effect {
	if version <= tb.version || version <= tb.wanted.version {
		return nil
	}
	tb.wanted = wantedVersion{version: version, pulls: tb.wanted.pulls, nextPull: tb.nextPull(now)}
	return []types.Effect{VersionLearned{Peer: holder, Version: version}}
}

// WatchPause returns how long a node waits after an event of its watch on the platform
// before it watches on. It grows with the number of members, so that a series of
// changes does not cost the platform one call for each change and node.
func (tb *Table) WatchPause() time.Duration {
	return min(time.Duration(len(tb.liveSet.items))*watchPausePerMember, maxWatchPause)
}

// pullWait returns how long to wait for the node's own watch before a version is pulled
// from a peer.
func (tb *Table) pullWait() time.Duration {
	if tb.pullDelay == 0 {
		return 0
	}
	return tb.pullDelay + tb.WatchPause()
}

// nextPull returns when to pull a version that was first reported now. A series of
// versions does not put off the pull that is due for an earlier one of them.
func (tb *Table) nextPull(now time.Time) time.Time {
	due := now.Add(tb.pullWait())
	if tb.wanted.version > tb.version && tb.wanted.nextPull.Before(due) {
		due = tb.wanted.nextPull
	}
	return tb.notBeforePull(due)
}

// notBeforePull returns a time, or the later one until which the latest pull is awaited.
func (tb *Table) notBeforePull(due time.Time) time.Time {
	if count := len(tb.wanted.pulls); count > 0 && due.Before(tb.wanted.pulls[count-1].until) {
		return tb.wanted.pulls[count-1].until
	}
	return due
}

// WantVersion records the configuration version that the platform reports as
// current. If this node does not have the version, Tick pulls it from any peer
// that does.
func (tb *Table) WantVersion(version types.Version) {
	if version > tb.version && version > tb.wanted.version {
		tb.wanted = wantedVersion{version: version, pulls: tb.wanted.pulls}
	}
}

// tryPull starts a pull if one is due. Another peer is asked while earlier pulls take
// longer than pullPatience, as a peer may be alive and yet not answer.
func (tb *Table) tryPull(now time.Time) []types.Effect {
	if tb.wanted.version <= tb.version || len(tb.wanted.pulls) >= maxPulls || now.Before(tb.wanted.nextPull) {
		return nil
	}
	rc, ok := tb.pickSource()
	if !ok {
		if len(tb.wanted.pulls) == 0 {
			tb.backOffPull(now)
		}
		return nil
	}
	tb.wanted.nextPull = now.Add(pullPatience)
	tb.wanted.pulls = append(tb.wanted.pulls, pull{peer: rc.member.ID, until: tb.wanted.nextPull})
	return []types.Effect{PullConfig{Peer: rc.member.ID, Address: rc.member.Address, Version: tb.wanted.version}}
}

// pickSource returns a random peer to pull the wanted version from, from which no pull is
// in flight: a peer that reported the version, or else any live member whose HeldVersion
// is at least the wanted version.
func (tb *Table) pickSource() (*record, bool) {
	tb.wanted.sources = slices.DeleteFunc(tb.wanted.sources, func(id types.InstanceID) bool {
		rc, ok := tb.records[id]
		return !ok || rc.member.Gone()
	})
	var reporters, holders []*record
	for _, id := range tb.wanted.sources {
		if !tb.wanted.pullsFrom(id) {
			reporters = append(reporters, tb.records[id])
		}
	}
	if len(reporters) > 0 {
		return reporters[tb.rand.IntN(len(reporters))], true
	}
	for _, rc := range tb.liveSet.items {
		if rc.member.HeldVersion >= tb.wanted.version && !tb.wanted.pullsFrom(rc.member.ID) {
			holders = append(holders, rc)
		}
	}
	if len(holders) == 0 {
		return nil, false
	}
	return holders[tb.rand.IntN(len(holders))], true
}

// HandlePullEnded handles the end of a pull. If the version did not arrive, it
// schedules another pull: soon if other peers reported the version, else with
// backoff. If a newer version has become the wanted one during the pull, it
// tries to pull the newer version immediately.
func (tb *Table) HandlePullEnded(event PullEnded, now time.Time) []types.Effect {
	tb.wanted.pulls = slices.DeleteFunc(tb.wanted.pulls, func(pl pull) bool { return pl.peer == event.Peer })
	if tb.wanted.version <= tb.version {
		return nil
	}
	if event.Version < tb.wanted.version {
		return tb.tryPull(now)
	}
	tb.wanted.sources = slices.DeleteFunc(tb.wanted.sources, func(id types.InstanceID) bool { return id == event.Peer })
	if len(tb.wanted.sources) > 0 {
		tb.wanted.nextPull = now.Add(time.Duration(tb.rand.Int64N(int64(maxPullJitter))))
		return nil
	}
	tb.backOffPull(now)
	return nil
}

func (tb *Table) backOffPull(now time.Time) {
	wait := min(maxPullBackoff, minPullBackoff<<min(tb.wanted.failures, maxPullBackoffShift))
	tb.wanted.failures++
	tb.wanted.nextPull = now.Add(tb.jitter(wait))
}
