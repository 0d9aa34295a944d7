package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// advanceClock moves the ledger's clock to now, but never back.
func (ld *Ledger) advanceClock(now time.Time) {
	if !ld.started {
		ld.started = true
		ld.clock = now.Round(0)
		ld.sweptUntil = now.Unix()
	}
	if now.After(ld.clock) {
		ld.clock = now.Round(0)
	}
}

// scheduleExpiry schedules the removal of a key for the Unix second after the
// given time. If that second was swept already, it schedules the removal for the
// next second to be swept.
func (ld *Ledger) scheduleExpiry(key types.Key, at time.Time) {
	second := max(at.Unix(), ld.sweptUntil) + 1
	ld.expiring[second] = append(ld.expiring[second], key)
}

// Sweep removes the keys that are older than the retention.
func (ld *Ledger) Sweep(now time.Time) []types.Effect {
	ld.advanceClock(now)
	var effects []types.Effect
	for ; ld.sweptUntil < ld.clock.Unix(); ld.sweptUntil++ {
		effects = append(effects, ld.expire(ld.sweptUntil+1)...)
	}
	for len(ld.answered) > 0 && !ld.hasAnswer(ld.answered[0]) {
		ld.answered = ld.answered[1:]
	}
	return effects
}

// hasAnswer reports whether the answer of a key is stored.
func (ld *Ledger) hasAnswer(key types.Key) bool {
	record, ok := ld.keys[key]
	return ok && record.state == keyRan
}

// expire removes the keys that expire in the given Unix second. A key whose work is
// queued or running is kept until a later sweep.
func (ld *Ledger) expire(second int64) []types.Effect {
	var effects []types.Effect
	keys := ld.expiring[second]
	delete(ld.expiring, second)
	for _, key := range keys {
		record, ok := ld.keys[key]
		switch {
		case !ok:
			continue
		case record.state == keyRunning:
			ld.scheduleExpiry(key, ld.clock)
			continue
		case record.state == keyRan:
			ld.answerBytes -= record.answerSize
			effects = append(effects, DeleteWork{Work: record.firstWork})
		}
		delete(ld.keys, key)
	}
	return effects
}
