package fleet

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// maxRecentChanges bounds the number of recently changed records in a reply to a
// peer whose view hash differs.
const maxRecentChanges = 8

// exchangeWith returns the effect to start an exchange with a known member.
func (tb *Table) exchangeWith(rc *record) types.Effect {
	return tb.newExchange(rc.member.ID, rc.member.Address, rc.statusToRefute())
}

func (tb *Table) newExchange(peer types.InstanceID, address types.Address, toRefute types.Option[Member]) types.Effect {
	message := tb.message(toRefute)
	message.Full = !tb.joining.receivedFull
	return SendExchange{Peer: peer, Address: address, Epoch: tb.joining.epoch, Message: message}
}

// statusToRefute returns the record that a member should refute if the member
// is in fact alive. This is a peer's claim that the member is dead, if there is
// one, or else the record in this table. The result is empty if that record
// says that the member is alive.
func (rc *record) statusToRefute() types.Option[Member] {
	if reported := rc.deathClaim.Or(rc.member); reported.Status != Alive {
		return types.Some(reported)
	}
	return types.None[Member]()
}

// message returns a message with this node's own record, the record that the
// receiver should refute, if any, and queued gossip.
func (tb *Table) message(toRefute types.Option[Member]) Message {
	view := tb.viewHashes()
	message := Message{
		From:        tb.self.ID,
		Incarnation: tb.self.Incarnation,
		Version:     tb.version,
		Digest:      tb.digest,
		Prompt:      tb.prompt,
		ViewHash:    view.records,
		HeldHash:    view.held,
		Members:     []Member{tb.self},
	}
	if member, ok := toRefute.Get(); ok {
		message.Members = append(message.Members, member)
	}
	tb.queue.fillMessage(&message, sendLimit(len(tb.liveSet.items)))
	return message
}

// HandleExchangeReceived merges a peer's message into the table and returns the
// reply among the effects.
func (tb *Table) HandleExchangeReceived(event ExchangeReceived, now time.Time) []types.Effect {
	effects := tb.merge(event.Message, now)
	reply := tb.reply(event.Message, now)
	return append(effects, ReplyExchange{Token: event.Token, Message: reply})
}

func (tb *Table) reply(request Message, now time.Time) Message {
	reply := tb.message(tb.conflictingRecord(request))
	switch {
	case request.Full:
		reply.Full = true
		reply.Members = append(reply.Members, tb.recordsOf(allBuckets(), maxFullRecords, now)...)
	case request.hasBucketHashes():
		tb.repair(&reply, request, now)
		tb.addBucketHashes(&reply)
	case request.ViewHash != reply.ViewHash:
		tb.addRecentChanges(&reply, now)
	}
	return reply
}

// addRecentChanges adds the recently changed records to a reply, for a peer that
// missed them when they were gossiped.
func (tb *Table) addRecentChanges(reply *Message, now time.Time) {
	sent := len(reply.Members)
	for _, rc := range tb.recentChanges {
		known := slices.ContainsFunc(reply.Members[:sent], func(member Member) bool { return member.ID == rc.member.ID })
		if !known {
			reply.Members = append(reply.Members, rc.memberAt(now))
		}
	}
}

// noteChange moves a record to the end of the recent changes. The oldest one is
// dropped if there are too many.
func (tb *Table) noteChange(rc *record) {
	if at := slices.Index(tb.recentChanges, rc); at >= 0 {
		tb.recentChanges = slices.Delete(tb.recentChanges, at, at+1)
	}
	if len(tb.recentChanges) == maxRecentChanges {
		tb.recentChanges = slices.Delete(tb.recentChanges, 0, 1)
	}
	tb.recentChanges = append(tb.recentChanges, rc)
}

// conflictingRecord returns the record that the sender of a request should
// refute, if there is one. This is the table's record of the sender if that
// takes precedence over the sender's own, or else the result of statusToRefute.
func (tb *Table) conflictingRecord(request Message) types.Option[Member] {
	rc, ok := tb.records[request.From]
	if !ok {
		return types.None[Member]()
	}
	if len(request.Members) > 0 && rc.member.overrides(request.Members[0]) {
		return types.Some(rc.member)
	}
	return rc.statusToRefute()
}

// HandleExchangeAnswered merges a peer's reply into the table and ends the pending
// indirect probes of the peer. If the reply has bucket hashes, it also continues
// the anti-entropy comparison with the peer. Otherwise, it starts a comparison if
// one is due.
func (tb *Table) HandleExchangeAnswered(event ExchangeAnswered, now time.Time) []types.Effect {
	first := event.Epoch == tb.joining.epoch && !tb.joining.answered
	if event.Epoch == tb.joining.epoch {
		tb.joining.recordAnswer(event.Message, tb.self, now)
	}
	effects := tb.merge(event.Message, now)
	if rc, ok := tb.records[event.Message.From]; ok {
		tb.endIndirectProbe(rc)
		effects = append(effects, tb.syncWith(rc, event.Message, now)...)
	}
	tb.checkJoined()
	if first && !tb.joining.done {
		effects = append(effects, tb.contactQuorum()...)
	}
	return effects
}

func (tb *Table) merge(message Message, now time.Time) []types.Effect {
	var effects []types.Effect
	for _, member := range message.Members {
		tb.suppressGossip = (message.Full || message.Repair) && member.ID != message.From
		effects = append(effects, tb.mergeMember(member, message.From, now)...)
	}
	tb.suppressGossip = message.Full || message.Repair
	for _, report := range message.Reports {
		if rc, ok := tb.records[report.ID]; ok {
			tb.raiseHeld(rc, report.HeldVersion)
		} else if report.ID == tb.self.ID {
			tb.setSelf(tb.self.WithHeldVersion(report.HeldVersion))
		}
	}
	tb.suppressGossip = false
	if rc, ok := tb.records[message.From]; ok {
		tb.raiseHeld(rc, message.Version)
		effects = append(effects, tb.noteVersion(message.Version, rc.member.ID, message.Prompt, now)...)
	}
	return append(effects, tb.learnHeld(message, now)...)
}

// learnHeld learns of the versions that the members in a message are said to hold.
func (tb *Table) learnHeld(message Message, now time.Time) []types.Effect {
	var effects []types.Effect
	learn := func(id types.InstanceID) {
		if rc, ok := tb.records[id]; ok && !rc.member.Gone() {
			effects = append(effects, tb.learnVersion(rc.member.HeldVersion, id, now)...)
		}
	}
	for _, member := range message.Members {
		learn(member.ID)
	}
	for _, report := range message.Reports {
		learn(report.ID)
	}
	return effects
}

// mergeMember merges one record of a message into the table. The parameter from
// is the sender of the message.
func (tb *Table) mergeMember(member Member, from types.InstanceID, now time.Time) []types.Effect {
	if member.ID == tb.self.ID {
		return tb.mergeSelf(member)
	}
	rc, known := tb.records[member.ID]
	if !known {
		if member.Gone() && member.GoneFor >= tombstoneRetention {
			return nil
		}
		return tb.store(member, now)
	}
	tb.raiseHeld(rc, member.HeldVersion)
	if member.overrides(rc.member) {
		return tb.override(rc, member, now)
	}
	if from == member.ID && member.StartedAt.Before(rc.member.StartedAt) && !rc.member.Gone() && !rc.duplicateReported {
		rc.duplicateReported = true
		return []types.Effect{Duplicated{Older: member}}
	}
	if member.Gone() && rc.member.Gone() {
		rc.goneAt = earlier(rc.goneAt, now.Add(-member.GoneFor))
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// override stores a record that takes precedence over the one in the table. A
// record which says that a member is dead is not stored if the table has the
// same process of that member as alive. Instead, the record is kept as a claim,
// and this node contacts the member first. Without this check, when a partition
// heals, each side would accept the other side's records which say that this
// side's members are dead, and would lose all of these members until they
// refute the records.
func (tb *Table) override(rc *record, member Member, now time.Time) []types.Effect {
	sameProcess := member.StartedAt.Equal(rc.member.StartedAt)
	if member.Status == Dead && rc.member.Status == Alive && sameProcess {
		if !rc.deathClaim.IsSome() {
			tb.deathClaims = append(tb.deathClaims, rc)
		}
		rc.deathClaim = types.Some(member)
		return nil
	}
	return tb.store(member.WithHeldVersion(rc.member.HeldVersion).WithDeparture(rc.member.Departure), now)
}

// mergeSelf handles a peer's record of this node. A record with the same
// process start as this process is refuted by announcing a higher incarnation,
// if it says that the process is not alive or has a higher incarnation than
// this node's own record. A record with an earlier process start is ignored. A
// record with a later process start means that another process supersedes this
// one, if this process has joined and the record says neither dead nor left.
// Otherwise, the record is taken for that of an earlier process whose clock was
// ahead, and this node announces a process start just after the one in the
// record. In all cases, the version held and the departure in the record are
// taken over.
func (tb *Table) mergeSelf(reported Member) []types.Effect {
	effects := tb.learnDeparture(reported)
	return append(effects, tb.refute(reported)...)
}

func (tb *Table) refute(reported Member) []types.Effect {
	if reported.HeldVersion > tb.self.HeldVersion {
		tb.setSelf(tb.self.WithHeldVersion(reported.HeldVersion))
	}
	if tb.self.Status == Left {
		return nil
	}
	if reported.StartedAt.After(tb.self.StartedAt) {
		joined := tb.joining.done || tb.joining.epoch > 1
		if joined && !reported.Gone() {
			return []types.Effect{Superseded{By: reported}}
		}
		self := tb.self.WithStartedAt(reported.StartedAt.Add(time.Millisecond))
		tb.announce(self.WithIncarnation(max(self.Incarnation, reported.Incarnation)))
		return nil
	}
	if reported.StartedAt.Before(tb.self.StartedAt) {
		return nil
	}
	if reported.Incarnation > tb.self.Incarnation || reported.Incarnation == tb.self.Incarnation && reported.Status != Alive {
		tb.announce(tb.self.WithIncarnation(reported.Incarnation))
	}
	return nil
}
