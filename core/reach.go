package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// readPatience is how long a delegate waits for the platform's answer before it
	// steps down.
	readPatience = 500 * time.Millisecond
	// detachedInterval is the average time between two reads by which the detached
	// nodes of a zone, taken together, check whether they reach the platform again.
	detachedInterval = time.Second
	// readSpread is the ratio of the average time between two reads of a delegate to the
	// range of that time.
	readSpread = 10
	// hedgeWait is how long a read may take before peers are asked to read as well.
	hedgeWait = 150 * time.Millisecond
	// hedgePeers is how many peers are asked at a time.
	hedgePeers = 3
)

// PollRoot is the effect to read the platform's configuration root, offer it to the
// state machine as read in the given way and report the end of the read with RootPolled.
type PollRoot struct{ Reading conf.Reading }

// Effect implements types.Effect.
func (PollRoot) Effect() {}

// RootPolled reports that a read requested by PollRoot ended. Err is nil if the platform
// answered.
type RootPolled struct{ Err *fault.Error }

// Event implements types.Event.
func (RootPolled) Event() {}

// HedgeRoot is the effect to ask a peer to read the platform's configuration root, because
// this node's own read is not answered, and to report the end with RootHedged.
type HedgeRoot struct {
	Peer    types.InstanceID
	Address types.Address
}

// Effect implements types.Effect.
func (HedgeRoot) Effect() {}

// RootHedged reports that a read requested by HedgeRoot ended. Err is nil if the platform
// answered the peer.
type RootHedged struct {
	Peer types.InstanceID
	Err  *fault.Error
}

// Event implements types.Event.
func (RootHedged) Event() {}

// WatchFailed reports that the watch of a delegate that does not poll has failed.
type WatchFailed struct{}

// Event implements types.Event.
func (WatchFailed) Event() {}

// WithPolling makes a delegate read the platform's configuration root every interval on
// average, besides watching it.
func WithPolling(interval time.Duration) Option {
	return func(se *settings) { se.pollInterval = interval }
}

// rootPoller schedules the reads of the platform's configuration root. Delegates read
// it so that a version arrives although watches are late, and detached nodes read it to
// learn when the platform answers them again.
type rootPoller struct {
	interval time.Duration
	rand     *rand.Rand
	due      time.Time
	// askedAt is when the pending read began, or zero if none is pending.
	askedAt  time.Time
	delegate bool
	// once is true if this node is to read once, though it may not be a delegate.
	once bool
	// standIn is true if this node reads because it has heard of no read.
	standIn bool
	hedge   hedge
	news    readNews
}

// hedge is what a node has asked of its peers about the pending read.
type hedge struct {
	asked []types.InstanceID
	// answered is true if the platform has answered one of them.
	answered bool
}

// pollRoot starts a read if one is due. A delegate whose read is not answered in time
// steps down: alive nodes are not of use as delegates if the platform does not answer
// them.
func (st *State) pollRoot(now time.Time) []types.Effect {
	po := &st.poller
	effects := append(st.delegatePolling(now), st.awaitNews(now)...)
	if !po.askedAt.IsZero() {
		return append(effects, st.awaitRead(now)...)
	}
	self := st.fleet.Self()
	polls := po.delegate && po.interval > 0 || self.Detached && !self.Leaving
	if !po.once && (!polls || now.Before(po.due)) {
		return effects
	}
	reading := conf.ReadByPoll
	if po.once {
		reading = conf.ReadInPlace
	}
	po.askedAt, po.once, po.hedge = now, false, hedge{}
	if reading != conf.ReadInPlace {
		po.standIn = false
	}
	po.due = now.Add(po.wait(self.Detached, st.fleet.DetachedInZone()))
	return append(effects, PollRoot{Reading: reading})
}

// awaitRead asks peers to read the root if the pending read is not answered soon. It does
// not wait until this node steps down: until then, no node may read for the zone. The peers
// of a node that reads because it has heard of no read do so as well, without being asked.
func (st *State) awaitRead(now time.Time) []types.Effect {
	po := &st.poller
	wait := now.Sub(po.askedAt)
	switch {
	case st.fleet.Self().Detached:
		return nil
	case wait >= readPatience:
		return st.detach(fault.New(fault.PlatformUnavailable, "no answer within %s", readPatience))
	case wait < hedgeWait || po.hedge.answered || po.standIn:
		return nil
	}
	var effects []types.Effect
	for _, peer := range st.fleet.ZonePeers(hedgePeers, po.hedge.asked) {
		po.hedge.asked = append(po.hedge.asked, peer.ID)
		effects = append(effects, HedgeRoot{Peer: peer.ID, Address: peer.Address}, st.hedgeEvent(peer.ID, "asked, no answer within "+wait.Round(time.Millisecond).String()))
	}
	return effects
}

func (st *State) rootHedged(event RootHedged, now time.Time) []types.Effect {
	outcome := "answered"
	if event.Err != nil {
		outcome = event.Err.Error()
	}
	po := &st.poller
	if !po.askedAt.IsZero() && slices.Contains(po.hedge.asked, event.Peer) {
		po.hedge.answered = po.hedge.answered || event.Err == nil
		outcome += " " + now.Sub(po.askedAt).Round(time.Millisecond).String() + " after this node's read"
	}
	return []types.Effect{st.hedgeEvent(event.Peer, outcome)}
}

// delegatePolling notes whether this node is a delegate. One that has just been elected
// reads at once. It reports a change if delegates poll.
func (st *State) delegatePolling(now time.Time) []types.Effect {
	po := &st.poller
	if po.delegate == st.fleet.IsDelegate() {
		return nil
	}
	po.delegate = !po.delegate
	detail := "ended"
	if po.delegate {
		detail = "began"
		po.due = now
	}
	if po.interval == 0 {
		return nil
	}
	return []types.Effect{trace.Event{Kind: trace.PollingChanged, Subject: st.fleet.Self().ID, Detail: detail}}
}

// wait returns the time until the next read. The reads of a delegate are regular, as a
// version may have to wait for the next one.
func (po *rootPoller) wait(detached bool, detachedInZone int) time.Duration {
	if detached {
		average := detachedInterval * time.Duration(detachedInZone)
		return average/2 + time.Duration(po.rand.Int64N(int64(average)))
	}
	spread := po.interval / readSpread
	return po.interval - spread/2 + time.Duration(po.rand.Int64N(int64(spread)+1))
}

// longestWait returns the longest time between two reads of a delegate.
func (po *rootPoller) longestWait() time.Duration { return po.interval + po.interval/readSpread/2 }

// rootReadEnded handles the end of a read or of a watch of the platform's configuration
// root.
func (st *State) rootReadEnded(event types.Event, now time.Time) []types.Effect {
	switch ev := event.(type) {
	case RootPolled:
		return st.rootPolled(ev, now)
	case RootHedged:
		return st.rootHedged(ev, now)
	default:
		return st.fleet.SetDetached(true)
	}
}

func (st *State) rootPolled(event RootPolled, now time.Time) []types.Effect {
	st.poller.askedAt, st.poller.standIn = time.Time{}, false
	if event.Err != nil {
		return st.detach(event.Err)
	}
	if !st.fleet.Self().Detached {
		return st.readAnswered(now)
	}
	recovered := trace.Event{Kind: trace.PlatformRecovered, Subject: st.fleet.Self().ID, Detail: "read"}
	effects := append(st.fleet.SetDetached(false), recovered)
	return append(effects, st.readAnswered(now)...)
}

// detach announces that the platform does not answer this node's reads, so that other
// nodes of the zone become delegates in its place.
func (st *State) detach(err *fault.Error) []types.Effect {
	if st.fleet.Self().Detached {
		return nil
	}
	failed := trace.Event{Kind: trace.PlatformFailed, Subject: st.fleet.Self().ID, Detail: "read: " + err.Error()}
	return append(st.fleet.SetDetached(true), failed)
}
