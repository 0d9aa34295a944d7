package core

import (
	"math/bits"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// readNewsPatience is how much later than due the news of a delegate's read may arrive
	// before other nodes read in its place: a tick of the delegate, the platform's answer
	// and the messages that pass the news on.
	readNewsPatience = 200 * time.Millisecond
	// standInStep is the time between the groups of nodes that read in place of a delegate.
	// A read and the news of it take less, so that a group that is alive spares the next.
	standInStep = 50 * time.Millisecond
	// readNewsFanOut is how many peers each node passes the news of a read on to. It keeps
	// the messages of a delegate few, and the news three steps away from 500 nodes.
	readNewsFanOut = 8
	// readNewsMerge is the time within which two reports are taken for the same read. They
	// differ by the time that messages take; two reads of a node are much further apart.
	readNewsMerge = 200 * time.Millisecond
	// readNewsMemory is how long the latest read of a reader is kept. Reports of it have
	// arrived by then.
	readNewsMemory = 10 * time.Second
)

// readNews is what a node knows of the reads of the platform's configuration root. Each
// answered read is reported to all nodes of the reader's zone, so that each of them
// notices when nobody reads, however many others are lost.
type readNews struct {
	// awaiting is true if this node reads when it hears of no read.
	awaiting bool
	// heardAt is when the latest read was answered, or when a reader of the zone was last
	// heard to have got no answer.
	heardAt time.Time
	// latest is the latest answered read.
	latest answeredRead
	// zone is the latest answered read of a node of this node's zone.
	zone answeredRead
	// passedOn are the latest reads of this zone's readers whose news was passed on.
	passedOn map[types.InstanceID]time.Time
}

type answeredRead struct {
	reader types.InstanceID
	at     time.Time
}

// note records a read. It reports whether the news of it is to be passed on in the zone.
func (rn *readNews) note(read answeredRead, inZone bool) bool {
	if read.at.After(rn.latest.at) {
		rn.latest = read
	}
	if read.at.After(rn.heardAt) {
		rn.heardAt = read.at
	}
	if !inZone {
		return false
	}
	if read.at.After(rn.zone.at) {
		rn.zone = read
	}
	last, known := rn.passedOn[read.reader]
	if known && read.at.Sub(last) < readNewsMerge {
		return false
	}
	if rn.passedOn == nil {
		rn.passedOn = map[types.InstanceID]time.Time{}
	}
	for reader, at := range rn.passedOn {
		if read.at.Sub(at) > readNewsMemory {
			delete(rn.passedOn, reader)
		}
	}
	rn.passedOn[read.reader] = read.at
	return true
}

// firstStandIn is the rank of the first node that reads in place of a delegate. Those above it
// have current watches, which may be lost together, or get one as soon as the delegate is
// suspected.
const firstStandIn = currentWatches + 1

// standInDelay returns how long after the first one a node reads in place of a delegate. The
// nodes above firstStandIn come last. The groups double in size, so that one of them is soon
// larger than what is lost, and few nodes read at once.
func standInDelay(rank, zone int) time.Duration {
	place := (rank - firstStandIn + firstStandIn*zone) % zone
	return time.Duration(bits.Len(uint(place))) * standInStep
}

// awaitNews lets a node read once if it has not heard of a read for longer than the time
// between two reads of a delegate. A node whose own read is not answered steps down and does
// not read again here.
func (st *State) awaitNews(now time.Time) []types.Effect {
	po := &st.poller
	rank, eligible := st.fleet.ZoneRank()
	if po.interval == 0 || po.delegate || !eligible || !st.fleet.Settled() {
		po.news.awaiting = false
		return nil
	}
	if !po.news.awaiting {
		po.news.awaiting, po.news.heardAt = true, now
	}
	silence := now.Sub(po.news.heardAt)
	if !po.askedAt.IsZero() || po.once || silence < po.longestWait()+readNewsPatience+standInDelay(rank, len(st.fleet.ZoneRanking())) {
		return nil
	}
	po.once, po.standIn = true, true
	return []types.Effect{st.hedgeEvent(po.news.latest.reader, "read in its place, no read heard of for "+silence.Round(time.Millisecond).String())}
}

// readAnswered notes that the platform has answered a read of this node.
func (st *State) readAnswered(now time.Time) []types.Effect {
	return st.noteRead(fleet.RootReport{Reader: st.fleet.Self().ID}, now)
}

// readUnanswered notes that a reader of this node's zone has got no answer. The next one by
// rank reads then; that nobody reads would show later.
func (st *State) readUnanswered(reader fleet.Member, now time.Time) {
	if reader.Zone == st.fleet.Self().Zone {
		st.poller.news.heardAt = now
	}
}

// noteRead notes an answered read and passes the news on.
func (st *State) noteRead(report fleet.RootReport, now time.Time) []types.Effect {
	if st.poller.interval == 0 {
		return nil
	}
	reader, known := st.fleet.Member(report.Reader)
	inZone := known && reader.Zone == st.fleet.Self().Zone
	if !st.poller.news.note(answeredRead{reader: report.Reader, at: now.Add(-max(report.Age, 0))}, inZone) {
		return nil
	}
	var effects []types.Effect
	for _, peer := range newsReceivers(st.fleet.ZoneRanking(), report.Reader, st.fleet.Self().ID) {
		effects = append(effects, st.fleet.Contact(peer)...)
	}
	return effects
}

// newsReceivers returns the members of a zone to which a node passes the news of a read on.
// The reader is the root of a tree whose nodes follow it in the order of their ranks.
func newsReceivers(ranking []types.InstanceID, reader, self types.InstanceID) []types.InstanceID {
	root, own, count := slices.Index(ranking, reader), slices.Index(ranking, self), len(ranking)
	if root < 0 || own < 0 {
		return nil
	}
	place := (own - root + count) % count
	var receivers []types.InstanceID
	for next := place*readNewsFanOut + 1; next <= (place+1)*readNewsFanOut && next < count; next++ {
		receivers = append(receivers, ranking[(root+next)%count])
	}
	return receivers
}

// newsReceived notes the read that a peer's message tells of.
func (st *State) newsReceived(message fleet.Message, now time.Time) []types.Effect {
	report, ok := message.RootRead.Get()
	if !ok {
		return nil
	}
	return st.noteRead(report, now)
}

// addNews adds the latest read that this node knows of to the messages among the effects.
func (st *State) addNews(effects []types.Effect, event types.Event, now time.Time) []types.Effect {
	if st.poller.news.latest.reader == "" {
		return effects
	}
	for i, effect := range effects {
		switch ef := effect.(type) {
		case fleet.SendExchange:
			ef.Message.RootRead = types.Some(st.newsFor(ef.Peer, now))
			effects[i] = ef
		case fleet.ReplyExchange:
			received, _ := event.(fleet.ExchangeReceived)
			ef.Message.RootRead = types.Some(st.newsFor(received.Message.From, now))
			effects[i] = ef
		}
	}
	return effects
}

// newsFor returns what to tell a peer. One of the same zone is told of this zone's latest
// read, unless that is late, as it passes only such news on.
func (st *State) newsFor(peer types.InstanceID, now time.Time) fleet.RootReport {
	news := &st.poller.news
	read := news.latest
	member, known := st.fleet.Member(peer)
	if known && member.Zone == st.fleet.Self().Zone && now.Sub(news.zone.at) < st.poller.longestWait() {
		read = news.zone
	}
	return fleet.RootReport{Reader: read.reader, Age: now.Sub(read.at)}
}

func (st *State) hedgeEvent(peer types.InstanceID, detail string) types.Effect {
	return trace.Event{Kind: trace.ReadHedged, Subject: peer, Detail: detail}
}
