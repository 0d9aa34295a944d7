package blame

import (
	"cmp"
	"slices"
	"time"
)

// maxStored is the maximum number of crashes that a node keeps on record.
const maxStored = 8

// StoredCrash is a crash at this node for which requests are held back, as the node's
// record on the platform holds it for the case that all nodes restart. Runs has those
// requests only: what else ran may have been cleared since.
type StoredCrash struct {
	Number  uint64
	EndedAt time.Time
	Runs    []Run
}

// Stored returns the latest crashes at this node for which requests are held back, in the
// order of their numbers.
func (ld *Ledger) Stored(now time.Time) []StoredCrash {
	var stored []StoredCrash
	for id, record := range ld.crashes {
		if id.source != ld.self {
			continue
		}
		held := slices.DeleteFunc(slices.Clone(record.runs), func(run Run) bool {
			_, held := ld.Held(run.Content, now)
			return !held
		})
		if len(held) > 0 {
			stored = append(stored, StoredCrash{Number: id.number, EndedAt: record.endedAt, Runs: held})
		}
	}
	slices.SortFunc(stored, func(a, b StoredCrash) int { return cmp.Compare(a.Number, b.Number) })
	return stored[max(0, len(stored)-maxStored):]
}

// Restore adds the crashes that an earlier process of this node left on record. Their
// times are by the clock of the instance, which may have been set back since.
func (ld *Ledger) Restore(stored []StoredCrash, now time.Time) Changes {
	news := false
	for _, told := range stored {
		ld.number = max(ld.number, told.Number)
		age := max(0, now.Sub(told.EndedAt))
		news = ld.mergeCrash(CrashReport{Source: ld.self, Number: told.Number, Age: age, Runs: told.Runs}, now) || news
	}
	if !news {
		return Changes{}
	}
	return ld.update(now)
}
