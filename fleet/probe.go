package fleet

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	probeInterval = time.Second
	// busyInterval is the time between exchanges while news waits.
	busyInterval = 500 * time.Millisecond
	// indirectProbes is the number of peers asked to probe a silent one.
	indirectProbes  = 3
	indirectTimeout = 3 * time.Second
	// contactInterval is the time between attempts to reach nodes that are
	// dead or not known yet.
	contactInterval = 2 * time.Second
	pushFanOut      = 3
	maxTokens       = 12
	tokenInterval   = 250 * time.Millisecond
)

// Tick sends the exchanges that are due and ends suspicions.
func (tb *Table) Tick(now time.Time) []types.Effect {
	tb.sweep(now)
	tb.settle(now)
	effects := tb.endIndirect(now)
	effects = append(effects, tb.expire(now)...)
	effects = append(effects, tb.tryPull(now)...)
	if tb.self.Status == Left {
		return effects
	}
	effects = append(effects, tb.pushNews(now)...)
	effects = append(effects, tb.checkDoubt()...)
	if !now.Before(tb.timing.probe) {
		tb.timing.probe = now.Add(tb.interval())
		effects = append(effects, tb.probe()...)
	}
	if !now.Before(tb.timing.contact) {
		tb.timing.contact = now.Add(tb.contactWait())
		effects = append(effects, tb.contact()...)
	}
	return effects
}

func (tb *Table) interval() time.Duration {
	if tb.queue.length > 0 || !tb.joining.done {
		return busyInterval
	}
	return probeInterval
}

func (tb *Table) probe() []types.Effect {
	rc, ok := tb.contacts.next(tb.rand)
	if !ok {
		return nil
	}
	return []types.Effect{tb.send(rc)}
}

// pushNews spends tokens on pushes of urgent news.
func (tb *Table) pushNews(now time.Time) []types.Effect {
	if tb.tokens < maxTokens && !now.Before(tb.timing.token) {
		tb.timing.token = now.Add(tokenInterval)
		tb.tokens++
	}
	return tb.Push()
}

// Push sends the exchanges that spread urgent news.
func (tb *Table) Push() []types.Effect {
	var effects []types.Effect
	for tb.pushes > 0 && tb.tokens > 0 {
		rc, ok := tb.contacts.pick(tb.rand)
		if !ok {
			break
		}
		tb.pushes--
		tb.tokens--
		effects = append(effects, tb.send(rc))
	}
	return effects
}

// checkDoubt asks one member that a peer holds to be dead.
func (tb *Table) checkDoubt() []types.Effect {
	for len(tb.doubts) > 0 {
		rc := tb.doubts[0]
		tb.doubts = tb.doubts[1:]
		if rc.claim.IsSome() && rc.member.Status == Alive {
			return []types.Effect{tb.send(rc)}
		}
	}
	return nil
}

// Failed asks other nodes for a peer that did not answer.
func (tb *Table) Failed(event ExchangeFailed, now time.Time) []types.Effect {
	rc, ok := tb.records[event.Peer]
	if !ok || rc.member.Status != Alive || rc.indirect > 0 || rc.member.Address != event.Address {
		return nil
	}
	helpers := tb.contacts.sample(indirectProbes, rc, tb.rand)
	if len(helpers) == 0 {
		return tb.suspect(rc, now)
	}
	rc.indirect = len(helpers)
	rc.indirectUntil = now.Add(indirectTimeout)
	tb.indirect = append(tb.indirect, rc)
	var effects []types.Effect
	for _, helper := range helpers {
		effects = append(effects, ProbeThrough{
			Peer:       rc.member.ID,
			Address:    rc.member.Address,
			Via:        helper.member.ID,
			ViaAddress: helper.member.Address,
		})
	}
	return effects
}

// Probed takes the result of an indirect probe.
func (tb *Table) Probed(event ProbeEnded, now time.Time) []types.Effect {
	rc, ok := tb.records[event.Peer]
	if !ok || rc.indirect == 0 {
		return nil
	}
	if event.Reached {
		tb.endProbe(rc)
		rc.claim = types.None[Member]()
		return nil
	}
	rc.indirect--
	if rc.indirect > 0 {
		return nil
	}
	tb.endProbe(rc)
	return tb.suspect(rc, now)
}

func (tb *Table) endProbe(rc *record) {
	rc.indirect = 0
	tb.indirect = slices.DeleteFunc(tb.indirect, func(other *record) bool { return other == rc })
}

// endIndirect suspects the peers whose indirect probes were never answered.
func (tb *Table) endIndirect(now time.Time) []types.Effect {
	var effects []types.Effect
	for _, rc := range slices.Clone(tb.indirect) {
		if now.Before(rc.indirectUntil) {
			continue
		}
		tb.endProbe(rc)
		effects = append(effects, tb.suspect(rc, now)...)
	}
	return effects
}

// suspect marks a member as suspected and tells it so, so that it can refute.
func (tb *Table) suspect(rc *record, now time.Time) []types.Effect {
	if rc.member.Status != Alive {
		return nil
	}
	member := rc.claim.Or(rc.member).WithStatus(Suspect).WithHeld(rc.member.Held)
	effects := tb.store(member, now)
	return append(effects, tb.send(rc))
}

// expire holds the members to be dead whose suspicion lasted long enough.
func (tb *Table) expire(now time.Time) []types.Effect {
	var effects []types.Effect
	kept := tb.suspects[:0]
	for _, rc := range tb.suspects {
		if rc.member.Status != Suspect {
			continue
		}
		if now.Before(rc.suspectUntil) {
			kept = append(kept, rc)
			continue
		}
		effects = append(effects, tb.store(rc.member.WithStatus(Dead), now)...)
	}
	tb.suspects = kept
	return effects
}

func (tb *Table) contactWait() time.Duration {
	if !tb.joining.done {
		return busyInterval
	}
	return tb.jitter(contactInterval)
}

// contact tries an address that no live member is known by.
func (tb *Table) contact() []types.Effect {
	rc, dead := tb.fallen.pick(tb.rand)
	address, unknown := tb.unknownSeed()
	switch {
	case dead && (!unknown || tb.rand.IntN(2) == 0):
		return []types.Effect{tb.send(rc)}
	case unknown:
		return []types.Effect{tb.exchange("", address, types.None[Member]())}
	default:
		return nil
	}
}

// unknownSeed returns a seed that is not the address of a known member, other
// than a dead one.
func (tb *Table) unknownSeed() (types.Address, bool) {
	const tries = 4
	for range min(tries, len(tb.seeds)) {
		address := tb.seeds[tb.rand.IntN(len(tb.seeds))]
		if !tb.knows(address) {
			return address, true
		}
	}
	return "", false
}

func (tb *Table) knows(address types.Address) bool {
	for _, rc := range tb.records {
		if rc.member.Address == address && rc.member.Status != Dead {
			return true
		}
	}
	return false
}
