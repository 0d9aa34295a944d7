package quota

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxFailures is the number of trades in a row that fail until the node turns to
	// another pool, for awayTime after the first time and up to maxAwayTime.
	maxFailures = 2
	awayTime    = time.Second
	maxAwayTime = 8 * time.Second
	// peerMemory is how long a peer is remembered that is no pool any more. It is longer
	// than a loan and than maxAwayTime.
	peerMemory = 20 * time.Second
)

// peerState is what the node knows about a peer that is or was the pool of some slots.
type peerState struct {
	id types.InstanceID
	// session is the peer's process, and clock its clock at a time not after heardAt. The
	// session is 0 if it is not known.
	session uint64
	clock   time.Duration
	heardAt time.Time
	// slots are those that the latest trade lent.
	slots   uint64
	renewAt time.Time
	// busy is true while a trade is under way.
	busy   bool
	sentAt time.Time
	// failures counts the trades that failed in a row. The node doesn't turn to the peer
	// until awayUntil.
	failures  int
	awayUntil time.Time
	// poolSlots are the slots of which the peer is the pool.
	poolSlots uint64
	// due is true if there is something to send.
	due bool
	// usedAt is when the peer was last the pool of a slot.
	usedAt time.Time
}

// lentSlot is where the node's own share of a slot is.
type lentSlot struct {
	to types.InstanceID
	// until is when the node may use the share again, or lend it to another peer.
	until time.Time
}

// Tick renews and ends loans, and returns the trades to send. It must be called regularly,
// several times in maxStep.
func (lg *Ledger) Tick(now time.Time) []SendTrade {
	lg.advance(now)
	lg.refreshPools(now)
	lg.useOwnShare(now)
	lg.sweepUse(now)
	lg.dueLoans(now)
	return lg.Flush(now)
}

// dueLoans finds the peers to which the node has to send a loan, and forgets those that are
// no longer pools.
func (lg *Ledger) dueLoans(now time.Time) {
	forgotten := false
	for _, peer := range lg.peers {
		if peer.poolSlots != 0 {
			peer.usedAt = now
		}
		slots := lg.lendable(peer, now)
		hello := peer.session == 0 && peer.poolSlots != 0
		if hello || slots != peer.slots || slots != 0 && !now.Before(peer.renewAt) {
			peer.due = true
		}
		if peer.due && !peer.busy {
			lg.due = true
		}
		forgotten = forgotten || peer.forgotten(now)
	}
	if forgotten {
		lg.peers = slices.DeleteFunc(lg.peers, func(peer *peerState) bool { return peer.forgotten(now) })
	}
}

func (ps *peerState) forgotten(now time.Time) bool {
	return ps.poolSlots == 0 && !ps.busy && now.Sub(ps.usedAt) > peerMemory
}

func (lg *Ledger) refreshPools(now time.Time) {
	for _, peer := range lg.peers {
		if !peer.awayUntil.IsZero() && !now.Before(peer.awayUntil) {
			peer.awayUntil, lg.stale = time.Time{}, true
		}
	}
	if lg.stale {
		lg.findPools(now)
	}
}

// useOwnShare puts the node's own share to use where the node is the pool.
func (lg *Ledger) useOwnShare(now time.Time) {
	slots, share := uint64(0), 0.0
	if lg.sharing(now) {
		share = 1 / float64(lg.nodes.value)
		for rest := lg.selfSlots; rest != 0; rest &= rest - 1 {
			slot := bits.TrailingZeros64(rest)
			if lg.ownSlots&(1<<slot) != 0 || !now.Before(lg.lent[slot].until) {
				slots |= 1 << slot
			}
		}
	}
	if slots == lg.ownSlots && share == lg.ownShare {
		return
	}
	lg.changeHeld(lg.ownSlots, slots, lg.ownShare, share, now)
	for slot := range slotCount {
		if lg.ownSlots&^slots&(1<<slot) != 0 {
			lg.lent[slot] = lentSlot{to: lg.self, until: now.Add(guardTime)}
		}
	}
	lg.ownSlots, lg.ownShare = slots, share
}

// lendable returns the slots of which the node's share may be lent to a peer.
func (lg *Ledger) lendable(peer *peerState, now time.Time) uint64 {
	if peer.poolSlots == 0 || !lg.sharing(now) {
		return 0
	}
	slots := uint64(0)
	for rest := peer.poolSlots &^ lg.ownSlots; rest != 0; rest &= rest - 1 {
		slot := bits.TrailingZeros64(rest)
		if lent := &lg.lent[slot]; lent.to == peer.id || !now.Before(lent.until) {
			slots |= 1 << slot
		}
	}
	return slots
}

func (lg *Ledger) findPeer(id types.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(lg.peers, id, func(peer *peerState, id types.InstanceID) int { return cmp.Compare(peer.id, id) })
}

// peer returns the state of a peer, which it adds if there is none.
func (lg *Ledger) peer(id types.InstanceID) *peerState {
	index, ok := lg.findPeer(id)
	if !ok {
		lg.peers = slices.Insert(lg.peers, index, &peerState{id: id, due: true})
		lg.due = true
	}
	return lg.peers[index]
}

// Due reports whether Flush has trades to send.
func (lg *Ledger) Due() bool { return lg.due }

// Flush returns the trades that are due. Each peer has at most one trade under way.
func (lg *Ledger) Flush(now time.Time) []SendTrade {
	if !lg.due {
		return nil
	}
	lg.due = false
	var sends []SendTrade
	for _, peer := range lg.peers {
		if !peer.due || peer.busy {
			continue
		}
		peer.due = false
		if now.Before(peer.awayUntil) {
			continue
		}
		peer.busy, peer.sentAt = true, now
		offer := Trade{From: lg.self, Items: lg.itemsFor(peer, now), Loan: lg.loanFor(peer, now)}
		sends = append(sends, SendTrade{Peer: peer.id, Trade: offer})
	}
	return sends
}

// loanFor lends the node's share to a peer. The node gives up the share from now on, until
// the loan has ended on the peer's clock and guardTime has passed. The peer's clock ran on
// since its latest answer, so that it reaches the end of the loan no later than this node.
func (lg *Ledger) loanFor(peer *peerState, now time.Time) Loan {
	lg.number++
	loan := Loan{Number: lg.number, Session: peer.session}
	if peer.session == 0 {
		return loan
	}
	slots := lg.lendable(peer, now)
	if slots == peer.slots && now.Before(peer.renewAt) {
		return Loan{}
	}
	peer.slots = slots
	peer.renewAt = now.Add(lg.renewal())
	if peer.slots == 0 {
		return loan
	}
	loan.Slots, loan.Share = peer.slots, 1/float64(lg.nodes.value)
	loan.Until = peer.clock + now.Sub(peer.heardAt) + lg.nodes.loanTime()
	for rest := peer.slots; rest != 0; rest &= rest - 1 {
		lg.lent[bits.TrailingZeros64(rest)] = lentSlot{to: peer.id, until: now.Add(lg.nodes.loanTime() + guardTime)}
	}
	return loan
}

// renewal returns the time until a loan is renewed: about half of its length, at random so
// that nodes that start together don't renew together.
func (lg *Ledger) renewal() time.Duration {
	half := lg.nodes.loanTime() / 2
	return half*3/4 + time.Duration(lg.rand.Int64N(int64(half/4)))
}

// Answered handles a peer's answer to a trade.
func (lg *Ledger) Answered(id types.InstanceID, answer Answer, now time.Time) {
	lg.advance(now)
	index, ok := lg.findPeer(id)
	if !ok || !lg.peers[index].busy {
		return
	}
	peer := lg.peers[index]
	peer.busy, peer.failures = false, 0
	known := peer.session == answer.Session
	if peer.session != 0 && !known {
		// The process to which the share was lent has ended.
		lg.regain(id, 0, now)
		peer.slots = 0
	}
	peer.session, peer.clock, peer.heardAt = answer.Session, answer.Clock, now
	if known {
		lg.regain(id, peer.slots, now)
	} else {
		peer.due, lg.due = true, true
	}
	lg.takeGrants(answer.Grants, peer.sentAt, now)
	lg.wake(peer)
}

// regain takes back the slots that a peer no longer holds: all but kept.
func (lg *Ledger) regain(id types.InstanceID, kept uint64, now time.Time) {
	for slot := range slotCount {
		lent := &lg.lent[slot]
		if lent.to == id && kept&(1<<slot) == 0 && now.Add(guardTime).Before(lent.until) {
			lent.to, lent.until = "", now.Add(guardTime)
		}
	}
}

// Failed handles a trade that failed, or whose answer did not come in time.
func (lg *Ledger) Failed(id types.InstanceID, now time.Time) {
	lg.advance(now)
	index, ok := lg.findPeer(id)
	if !ok || !lg.peers[index].busy {
		return
	}
	peer := lg.peers[index]
	peer.busy = false
	peer.failures++
	peer.renewAt = now
	if peer.failures >= maxFailures {
		away := min(maxAwayTime, awayTime<<min(3, peer.failures-maxFailures))
		peer.awayUntil, lg.stale = now.Add(away), true
		lg.refreshPools(now)
	}
	for _, acc := range lg.accounts {
		if acc.use.waiting > 0 {
			lg.ask(acc)
		}
	}
	lg.wake(peer)
}

// wake has the trades sent that became due while another was under way.
func (lg *Ledger) wake(peer *peerState) {
	if peer.due {
		lg.due = true
	}
}

// ask has a trade sent to the pool of a team.
func (lg *Ledger) ask(acc *account) {
	peer := lg.pools[acc.slot]
	if peer == nil {
		return
	}
	peer.due = true
	if !peer.busy {
		lg.due = true
	}
}
