package fleet

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	maxInformers  = 8
	pullBackoff   = 100 * time.Millisecond
	maxPullWait   = 5 * time.Second
	maxPullShift  = 6
	maxPullJitter = 50 * time.Millisecond
)

// want is the newest version that was heard of but is not held.
type want struct {
	version   types.Version
	informers []types.InstanceID
	pulling   bool
	failures  int
	next      time.Time
}

func (wa *want) met(version types.Version) {
	if version >= wa.version {
		*wa = want{pulling: wa.pulling}
	}
}

func (wa *want) add(informer types.InstanceID) {
	if len(wa.informers) < maxInformers && !slices.Contains(wa.informers, informer) {
		wa.informers = append(wa.informers, informer)
	}
}

// heardVersion notes who holds a version that is lacking here.
func (tb *Table) heardVersion(version types.Version, informer types.InstanceID, now time.Time) []types.Effect {
	if version <= tb.version || version < tb.want.version {
		return nil
	}
	if version > tb.want.version {
		tb.want = want{version: version, pulling: tb.want.pulling, next: now.Add(tb.patience)}
	}
	tb.want.add(informer)
	return tb.tryPull(now)
}

// Want notes a version that the platform names, to be pulled from any peer
// that comes to hold it.
func (tb *Table) Want(version types.Version) {
	if version > tb.version && version > tb.want.version {
		tb.want = want{version: version, pulling: tb.want.pulling}
	}
}

// tryPull starts a pull if one is due.
func (tb *Table) tryPull(now time.Time) []types.Effect {
	if tb.want.version <= tb.version || tb.want.pulling || now.Before(tb.want.next) {
		return nil
	}
	rc, ok := tb.informer()
	if !ok {
		tb.backOff(now)
		return nil
	}
	tb.want.pulling = true
	return []types.Effect{PullConfig{Peer: rc.member.ID, Address: rc.member.Address, Version: tb.want.version}}
}

// informer returns a live member that holds the version wanted.
func (tb *Table) informer() (*record, bool) {
	for len(tb.want.informers) > 0 {
		place := tb.rand.IntN(len(tb.want.informers))
		rc, ok := tb.records[tb.want.informers[place]]
		if ok && !rc.member.Gone() {
			return rc, true
		}
		tb.want.informers = slices.Delete(tb.want.informers, place, place+1)
	}
	var holders []*record
	for _, rc := range tb.contacts.items {
		if rc.member.Held >= tb.want.version {
			holders = append(holders, rc)
		}
	}
	if len(holders) == 0 {
		return nil, false
	}
	return holders[tb.rand.IntN(len(holders))], true
}

// Pulled takes the end of a pull. A version that did not come is asked of
// another peer, and again after a while.
func (tb *Table) Pulled(event PullEnded, now time.Time) []types.Effect {
	tb.want.pulling = false
	if tb.want.version <= tb.version {
		return nil
	}
	if event.Version < tb.want.version {
		return tb.tryPull(now)
	}
	tb.want.informers = slices.DeleteFunc(tb.want.informers, func(id types.InstanceID) bool { return id == event.Peer })
	if len(tb.want.informers) > 0 {
		tb.want.next = now.Add(time.Duration(tb.rand.Int64N(int64(maxPullJitter))))
		return nil
	}
	tb.backOff(now)
	return nil
}

func (tb *Table) backOff(now time.Time) {
	wait := min(maxPullWait, pullBackoff<<min(tb.want.failures, maxPullShift))
	tb.want.failures++
	tb.want.next = now.Add(tb.jitter(wait))
}
