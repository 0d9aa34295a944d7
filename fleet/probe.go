package fleet

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	probeInterval = time.Second
	// busyInterval replaces probeInterval while gossip is queued or the node
	// has not joined yet. It also replaces reconnectInterval until the node has
	// joined.
	busyInterval = 500 * time.Millisecond
	// indirectProbeCount is the number of nodes that are asked to probe a peer
	// that did not answer.
	indirectProbeCount   = 3
	indirectProbeTimeout = 3 * time.Second
	// reconnectInterval is the mean time between attempts to contact a dead
	// member or an unknown seed address (see unknownSeed).
	reconnectInterval = 2 * time.Second
	// pushFanOut is the number of random peers that urgent gossip is pushed to.
	pushFanOut = 3
	// maxPushTokens and pushTokenInterval are the size and the refill interval of
	// the token bucket that limits pushes.
	maxPushTokens     = 12
	pushTokenInterval = 250 * time.Millisecond
)

// Tick performs the periodic work that is due: it starts exchanges, pulls and
// reconnects, ends suspicions and indirect probes, and removes old records.
func (tb *Table) Tick(now time.Time) []types.Effect {
	tb.sweep(now)
	tb.updateSettled(now)
	effects := tb.expireIndirectProbes(now)
	effects = append(effects, tb.expireSuspicions(now)...)
	effects = append(effects, tb.tryPull(now)...)
	if tb.self.Status == Left {
		return effects
	}
	effects = append(effects, tb.pushGossip(now)...)
	effects = append(effects, tb.checkDeathClaim()...)
	if !now.Before(tb.timing.probe) {
		tb.timing.probe = now.Add(tb.probeWait())
		effects = append(effects, tb.probe()...)
	}
	if !now.Before(tb.timing.reconnect) {
		tb.timing.reconnect = now.Add(tb.reconnectWait())
		effects = append(effects, tb.reconnect()...)
	}
	return effects
}

func (tb *Table) probeWait() time.Duration {
	if tb.queue.length > 0 || !tb.joining.done {
		return busyInterval
	}
	return probeInterval
}

func (tb *Table) probe() []types.Effect {
	rc, ok := tb.liveSet.next(tb.rand)
	if !ok {
		return nil
	}
	return []types.Effect{tb.exchangeWith(rc)}
}

// pushGossip refills the push tokens and sends the pushes that they allow.
func (tb *Table) pushGossip(now time.Time) []types.Effect {
	if tb.pushTokens < maxPushTokens && !now.Before(tb.timing.pushToken) {
		tb.timing.pushToken = now.Add(pushTokenInterval)
		tb.pushTokens++
	}
	if now.Before(tb.promptUntil) && len(tb.lagging()) > 0 {
		tb.pendingPushes = max(tb.pendingPushes, 1)
	}
	return tb.Push()
}

// lagging returns the live members that are not known to hold the version in force.
func (tb *Table) lagging() []*record {
	var lagging []*record
	for _, rc := range tb.liveSet.items {
		if rc.member.HeldVersion < tb.version {
			lagging = append(lagging, rc)
		}
	}
	return lagging
}

// Push returns the pending exchanges that spread urgent gossip, at most one for
// each push token. While a version spreads ahead of the watches, the members that lack it
// come first.
func (tb *Table) Push() []types.Effect {
	var effects []types.Effect
	var lagging []*record
	if tb.prompt && tb.pendingPushes > 0 {
		lagging = tb.lagging()
	}
	for tb.pendingPushes > 0 && tb.pushTokens > 0 {
		rc, ok := tb.liveSet.pick(tb.rand)
		if !ok {
			break
		}
		if count := len(lagging); count > 0 {
			i := tb.rand.IntN(count)
			rc = lagging[i]
			lagging = slices.Delete(lagging, i, i+1)
		}
		tb.pendingPushes--
		tb.pushTokens--
		effects = append(effects, tb.exchangeWith(rc))
	}
	return effects
}

// Spread returns exchanges with the given members and schedules others with a few random
// peers, to spread what the caller adds to the messages.
func (tb *Table) Spread(first []Member) []types.Effect {
	var effects []types.Effect
	for _, member := range first {
		if rc, ok := tb.records[member.ID]; ok {
			effects = append(effects, tb.exchangeWith(rc))
		}
	}
	tb.schedulePush()
	return append(effects, tb.Push()...)
}

// checkDeathClaim starts an exchange with one member that a peer reported dead
// and that is alive in this table.
func (tb *Table) checkDeathClaim() []types.Effect {
	for len(tb.deathClaims) > 0 {
		rc := tb.deathClaims[0]
		tb.deathClaims = tb.deathClaims[1:]
		if rc.deathClaim.IsSome() && rc.member.Status == Alive {
			return []types.Effect{tb.exchangeWith(rc)}
		}
	}
	return nil
}

// HandleExchangeFailed handles a failed exchange. It asks other nodes to probe
// the peer, or suspects the peer immediately if there are no other nodes to
// ask.
func (tb *Table) HandleExchangeFailed(event ExchangeFailed, now time.Time) []types.Effect {
	rc, ok := tb.records[event.Peer]
	if !ok || rc.member.Status != Alive || rc.pendingProbes > 0 || rc.member.Address != event.Address {
		return nil
	}
	helpers := tb.liveSet.sample(indirectProbeCount, rc, tb.rand)
	if len(helpers) == 0 {
		return tb.suspect(rc, now)
	}
	rc.pendingProbes = len(helpers)
	rc.indirectDeadline = now.Add(indirectProbeTimeout)
	tb.indirectProbes = append(tb.indirectProbes, rc)
	var effects []types.Effect
	for _, helper := range helpers {
		effects = append(effects, SendIndirectProbe{
			Peer:       rc.member.ID,
			Address:    rc.member.Address,
			Via:        helper.member.ID,
			ViaAddress: helper.member.Address,
		})
	}
	return effects
}

// HandleIndirectProbeEnded handles the result of an indirect probe. The peer is
// suspected when all its indirect probes have failed.
func (tb *Table) HandleIndirectProbeEnded(event IndirectProbeEnded, now time.Time) []types.Effect {
	rc, ok := tb.records[event.Peer]
	if !ok || rc.pendingProbes == 0 {
		return nil
	}
	if event.Reached {
		tb.endIndirectProbe(rc)
		rc.deathClaim = types.None[Member]()
		return nil
	}
	rc.pendingProbes--
	if rc.pendingProbes > 0 {
		return nil
	}
	tb.endIndirectProbe(rc)
	return tb.suspect(rc, now)
}

func (tb *Table) endIndirectProbe(rc *record) {
	rc.pendingProbes = 0
	tb.indirectProbes = slices.DeleteFunc(tb.indirectProbes, func(other *record) bool { return other == rc })
}

// expireIndirectProbes suspects the peers whose indirect probes had no result by
// the deadline.
func (tb *Table) expireIndirectProbes(now time.Time) []types.Effect {
	var effects []types.Effect
	for _, rc := range slices.Clone(tb.indirectProbes) {
		if now.Before(rc.indirectDeadline) {
			continue
		}
		tb.endIndirectProbe(rc)
		effects = append(effects, tb.suspect(rc, now)...)
	}
	return effects
}

// suspect marks an alive member as suspect and starts an exchange with the
// member, so that it can refute the suspicion.
func (tb *Table) suspect(rc *record, now time.Time) []types.Effect {
	if rc.member.Status != Alive {
		return nil
	}
	member := rc.deathClaim.Or(rc.member).WithStatus(Suspect).WithHeldVersion(rc.member.HeldVersion)
	effects := tb.store(member, now)
	return append(effects, tb.exchangeWith(rc))
}

// expireSuspicions declares dead the suspected members that have not refuted
// the suspicion by their deadline.
func (tb *Table) expireSuspicions(now time.Time) []types.Effect {
	var effects []types.Effect
	kept := tb.suspects[:0]
	for _, rc := range tb.suspects {
		if rc.member.Status != Suspect {
			continue
		}
		if now.Before(rc.suspicionDeadline) {
			kept = append(kept, rc)
			continue
		}
		effects = append(effects, tb.store(rc.member.WithStatus(Dead), now)...)
	}
	tb.suspects = kept
	return effects
}

func (tb *Table) reconnectWait() time.Duration {
	if !tb.joining.done {
		return busyInterval
	}
	return tb.jitter(reconnectInterval)
}

// reconnect starts an exchange with a random dead member or with an unknown seed
// address (see unknownSeed). This rejoins the two sides of a healed partition.
func (tb *Table) reconnect() []types.Effect {
	rc, dead := tb.deadSet.pick(tb.rand)
	address, unknown := tb.unknownSeed()
	switch {
	case dead && (!unknown || tb.rand.IntN(2) == 0):
		return []types.Effect{tb.exchangeWith(rc)}
	case unknown:
		return []types.Effect{tb.newExchange("", address, types.None[Member]())}
	default:
		return nil
	}
}

// unknownSeed returns a random seed address that belongs to no known member, or
// only to a dead one. After a few tries without success it returns false.
func (tb *Table) unknownSeed() (types.Address, bool) {
	const tries = 4
	for range min(tries, len(tb.seeds)) {
		address := tb.seeds[tb.rand.IntN(len(tb.seeds))]
		if !tb.knowsAddress(address) {
			return address, true
		}
	}
	return "", false
}

// knowsAddress reports whether an address belongs to a member that is not dead.
func (tb *Table) knowsAddress(address types.Address) bool {
	for _, rc := range tb.records {
		if rc.member.Address == address && rc.member.Status != Dead {
			return true
		}
	}
	return false
}
