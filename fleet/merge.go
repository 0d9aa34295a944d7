package fleet

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// maxRecent bounds the latest changes that a peer is told of if its view
// differs.
const maxRecent = 8

// send returns the effect of an exchange with a known member.
func (tb *Table) send(rc *record) types.Effect {
	return tb.exchange(rc.member.ID, rc.member.Address, rc.belief())
}

func (tb *Table) exchange(peer types.InstanceID, address types.Address, belief types.Option[Member]) types.Effect {
	message := tb.message(belief)
	message.Full = !tb.joining.filled
	return SendExchange{Peer: peer, Address: address, Epoch: tb.joining.epoch, Message: message}
}

// belief returns what a member must learn is believed of it, if anything.
func (rc *record) belief() types.Option[Member] {
	if claim := rc.claim.Or(rc.member); claim.Status != Alive {
		return types.Some(claim)
	}
	return types.None[Member]()
}

// message returns a message with this node's record, the belief about the
// receiver, and news.
func (tb *Table) message(belief types.Option[Member]) Message {
	view := tb.sum()
	message := Message{
		From:        tb.self.ID,
		Incarnation: tb.self.Incarnation,
		Version:     tb.version,
		Digest:      tb.digest,
		View:        view.records,
		HeldView:    view.held,
		Members:     []Member{tb.self},
	}
	if member, ok := belief.Get(); ok {
		message.Members = append(message.Members, member)
	}
	tb.queue.take(&message, sendLimit(len(tb.contacts.items)))
	return message
}

// Received merges a peer's message and answers it.
func (tb *Table) Received(event ExchangeReceived, now time.Time) []types.Effect {
	effects := tb.merge(event.Message, now)
	reply := tb.reply(event.Message, now)
	return append(effects, ReplyExchange{Token: event.Token, Message: reply})
}

func (tb *Table) reply(asked Message, now time.Time) Message {
	reply := tb.message(tb.contested(asked))
	switch {
	case asked.Full:
		reply.Full = true
		reply.Members = append(reply.Members, tb.recordsOf(allBuckets(), maxRecords, now)...)
	case asked.compares():
		tb.repair(&reply, asked, now)
		tb.addBuckets(&reply)
	case asked.View != reply.View:
		tb.addRecent(&reply, now)
	}
	return reply
}

// addRecent adds the latest changes, for a peer that missed them while they
// were passed on.
func (tb *Table) addRecent(reply *Message, now time.Time) {
	sent := len(reply.Members)
	for _, rc := range tb.recent {
		known := slices.ContainsFunc(reply.Members[:sent], func(member Member) bool { return member.ID == rc.member.ID })
		if !known {
			reply.Members = append(reply.Members, rc.aged(now))
		}
	}
}

// changed notes a record as one of the latest changes.
func (tb *Table) changed(rc *record) {
	if at := slices.Index(tb.recent, rc); at >= 0 {
		tb.recent = slices.Delete(tb.recent, at, at+1)
	}
	if len(tb.recent) == maxRecent {
		tb.recent = slices.Delete(tb.recent, 0, 1)
	}
	tb.recent = append(tb.recent, rc)
}

// contested returns the record of a message's sender if it contradicts what
// the sender says of itself.
func (tb *Table) contested(asked Message) types.Option[Member] {
	rc, ok := tb.records[asked.From]
	if !ok {
		return types.None[Member]()
	}
	if len(asked.Members) > 0 && rc.member.overrides(asked.Members[0]) {
		return types.Some(rc.member)
	}
	return rc.belief()
}

// Answered merges a peer's answer.
func (tb *Table) Answered(event ExchangeAnswered, now time.Time) []types.Effect {
	if event.Epoch == tb.joining.epoch {
		tb.joining.heard(event.Message)
	}
	effects := tb.merge(event.Message, now)
	if rc, ok := tb.records[event.Message.From]; ok {
		tb.endProbe(rc)
		effects = append(effects, tb.syncWith(rc, event.Message, now)...)
	}
	tb.checkJoined()
	return effects
}

func (tb *Table) merge(message Message, now time.Time) []types.Effect {
	var effects []types.Effect
	for _, member := range message.Members {
		tb.filling = (message.Full || message.Repair) && member.ID != message.From
		effects = append(effects, tb.learn(member, message.From, now)...)
	}
	tb.filling = message.Full || message.Repair
	for _, report := range message.Reports {
		if rc, ok := tb.records[report.ID]; ok {
			tb.raiseHeld(rc, report.Held)
		} else if report.ID == tb.self.ID {
			tb.setSelf(tb.self.WithHeld(report.Held))
		}
	}
	tb.filling = false
	if rc, ok := tb.records[message.From]; ok {
		tb.raiseHeld(rc, message.Version)
		effects = append(effects, tb.heardVersion(message.Version, rc.member.ID, now)...)
	}
	return effects
}

func (tb *Table) learn(member Member, from types.InstanceID, now time.Time) []types.Effect {
	if member.ID == tb.self.ID {
		return tb.claimed(member)
	}
	rc, known := tb.records[member.ID]
	if !known {
		if member.Gone() && member.GoneFor >= goneRetention {
			return nil
		}
		return tb.store(member, now)
	}
	tb.raiseHeld(rc, member.Held)
	if member.overrides(rc.member) {
		return tb.override(rc, member, now)
	}
	if from == member.ID && member.Started.Before(rc.member.Started) && !rc.member.Gone() && !rc.duplicated {
		rc.duplicated = true
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

// override takes a newer record. The claim that a member is dead that is
// alive here is checked first, so that the two halves of a healed partition
// don't lose all their members for a while.
func (tb *Table) override(rc *record, member Member, now time.Time) []types.Effect {
	sameProcess := member.Started.Equal(rc.member.Started)
	if member.Status == Dead && rc.member.Status == Alive && sameProcess {
		if !rc.claim.IsSome() {
			tb.doubts = append(tb.doubts, rc)
		}
		rc.claim = types.Some(member)
		return nil
	}
	return tb.store(member.WithHeld(rc.member.Held), now)
}

// claimed answers what others believe of this node.
func (tb *Table) claimed(claim Member) []types.Effect {
	if claim.Held > tb.self.Held {
		tb.setSelf(tb.self.WithHeld(claim.Held))
	}
	if tb.self.Status == Left {
		return nil
	}
	if claim.Started.After(tb.self.Started) {
		joined := tb.joining.done || tb.joining.epoch > 1
		if joined && !claim.Gone() {
			return []types.Effect{Superseded{By: claim}}
		}
		self := tb.self.WithStarted(claim.Started.Add(time.Millisecond))
		tb.announce(self.WithIncarnation(max(self.Incarnation, claim.Incarnation)))
		return nil
	}
	if claim.Started.Before(tb.self.Started) {
		return nil
	}
	if claim.Incarnation > tb.self.Incarnation || claim.Incarnation == tb.self.Incarnation && claim.Status != Alive {
		tb.announce(tb.self.WithIncarnation(claim.Incarnation))
	}
	return nil
}
