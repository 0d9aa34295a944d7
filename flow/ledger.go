package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	defaultMaxKeys  = 100_000
	defaultMaxBytes = 16 << 20
	ledgerRetry     = 500 * time.Millisecond
)

type keyState int

const (
	keyRunning keyState = iota + 1
	keyRan
	// keyDropped means that the work ran and its answer is no longer kept.
	keyDropped
	keyPassedOn
	keyUnknown
)

// Ledger remembers, at the owner of an upstream, what became of each
// idempotency key of the non-idempotent work that arrived here.
type Ledger struct {
	limits   KeyLimits
	maxKeys  int
	maxBytes int
	// since is the instant from which on no key can have escaped the ledger.
	since time.Time
	// gaps are the mint times of keys that may have escaped it since then.
	gaps    []gap
	latest  time.Time
	started bool
	keys    map[types.Key]*keyRecord
	// works holds the keys of the works that wait for an answer or run.
	works map[types.WorkID]types.Key
	due   map[int64][]types.Key
	swept int64
	// kept lists the keys whose answers are kept, oldest first.
	kept  []types.Key
	bytes int
}

type keyRecord struct {
	state       keyState
	fingerprint uint64
	minted      time.Time
	first       types.WorkID
	last        bool
	dispatched  bool
	// detached states that the caller of the first work no longer waits.
	detached bool
	joined   []types.WorkID
	size     int
}

// LedgerOption changes a setting of a ledger.
type LedgerOption func(*Ledger)

// WithMaxKeys sets the greatest number of keys.
func WithMaxKeys(limit int) LedgerOption {
	return func(ld *Ledger) { ld.maxKeys = limit }
}

// WithMaxBytes sets the greatest size of all kept answers.
func WithMaxBytes(limit int) LedgerOption {
	return func(ld *Ledger) { ld.maxBytes = limit }
}

// NewLedger returns an empty ledger.
func NewLedger(limits KeyLimits, opts ...LedgerOption) *Ledger {
	ld := &Ledger{
		limits:   limits,
		maxKeys:  defaultMaxKeys,
		maxBytes: defaultMaxBytes,
		keys:     map[types.Key]*keyRecord{},
		works:    map[types.WorkID]types.Key{},
		due:      map[int64][]types.Key{},
	}
	for _, opt := range opts {
		opt(ld)
	}
	return ld
}

// Len returns the number of keys.
func (ld *Ledger) Len() int { return len(ld.keys) }

// Open returns the number of works that wait for an answer or run.
func (ld *Ledger) Open() int { return len(ld.works) }

// Holds reports whether a work waits for an answer or runs.
func (ld *Ledger) Holds(id types.WorkID) bool {
	_, ok := ld.works[id]
	return ok
}

// Renew states that keys minted before an instant may have run elsewhere.
func (ld *Ledger) Renew(now time.Time) {
	if now.After(ld.since) {
		ld.since = now
	}
}

// maxGaps bounds the gaps that a ledger tells apart.
const maxGaps = 64

// gap is a span of mint times.
type gap struct{ from, to time.Time }

// Return states that the node did not take work between two instants, though
// it knew the fleet. Keys minted less than the margin after it left still came
// to it first.
func (ld *Ledger) Return(left, back time.Time) {
	if len(ld.gaps) == maxGaps {
		ld.since = ld.gaps[0].to.Add(-ld.limits.Margin)
		ld.gaps = ld.gaps[1:]
	}
	ld.gaps = append(ld.gaps, gap{from: left.Add(ld.limits.Margin), to: back.Add(ld.limits.Margin)})
}

// complete reports whether no key of a mint time can have escaped the ledger.
func (ld *Ledger) complete(minted time.Time) bool {
	for _, missed := range ld.gaps {
		if !minted.Before(missed.from) && minted.Before(missed.to) {
			return false
		}
	}
	return ld.limits.Knows(minted, ld.since)
}

// Knows reports whether the key of a work arrived before.
func (ld *Ledger) Knows(work admit.Work) bool {
	key, _, err := ParseKey(work.Key.Or(""))
	_, ok := ld.keys[key]
	return err == nil && ok
}

// Arrive answers a work whose key is known or cannot be known. It reports
// whether the work is new and is to be admitted.
func (ld *Ledger) Arrive(work admit.Work, now time.Time) ([]types.Effect, bool) {
	ld.advance(now)
	key, minted, err := ParseKey(work.Key.Or(""))
	if err != nil {
		return settle(work.ID, NotRun, err, false), false
	}
	if err := ld.limits.Check(minted, ld.latest); err != nil {
		return settle(work.ID, Lost, err, false), false
	}
	if record, ok := ld.keys[key]; ok {
		return ld.repeat(work, key, record), false
	}
	if !ld.complete(minted) {
		err := fault.New(fault.OutcomeUnknown, "the owner cannot know keys minted at %s", minted.UTC().Format(time.RFC3339))
		return settle(work.ID, Lost, err, false), false
	}
	if len(ld.keys) >= ld.maxKeys {
		err := fault.New(fault.Overloaded, "the owner remembers %d keys and takes no more", ld.maxKeys).WithRetryAfter(ledgerRetry)
		return settle(work.ID, NotRun, err, false), false
	}
	ld.keys[key] = &keyRecord{state: keyRunning, fingerprint: work.Fingerprint, minted: minted, first: work.ID, last: work.Last}
	ld.works[work.ID] = key
	ld.schedule(key, minted.Add(ld.limits.Retention))
	return nil, true
}

func (ld *Ledger) repeat(work admit.Work, key types.Key, record *keyRecord) []types.Effect {
	if record.fingerprint != work.Fingerprint {
		return settle(work.ID, NotRun, fault.New(fault.KeyReused, "the idempotency key belongs to another request"), false)
	}
	switch record.state {
	case keyRunning:
		record.joined = append(record.joined, work.ID)
		ld.works[work.ID] = key
		return []types.Effect{trace.Count{Counter: trace.WorkJoined}}
	case keyRan:
		return []types.Effect{
			trace.Count{Counter: trace.WorkReplays},
			trace.Event{Kind: trace.WorkReplayed, Request: work.Request, Detail: string(key)},
			Replay{Work: work.ID, Of: record.first},
			Forget{Work: work.ID},
		}
	case keyDropped:
		return settle(work.ID, Lost, fault.New(fault.OutcomeUnknown, "the work ran and its answer is no longer kept"), false)
	case keyPassedOn:
		err := fault.New(fault.Overloaded, "the owner passed the key on").WithOutcome(fault.Unknown).WithRetryAfter(ledgerRetry)
		return settle(work.ID, NotRun, err, true)
	default:
		return settle(work.ID, Lost, fault.New(fault.OutcomeUnknown, "the work was sent and may have run"), false)
	}
}

// Dispatched records that a work was sent to the upstream.
func (ld *Ledger) Dispatched(id types.WorkID) {
	if record, ok := ld.owned(id); ok {
		record.dispatched = true
	}
}

// Ended records how a work ended and answers all that wait for it.
func (ld *Ledger) Ended(event admit.Ended, now time.Time) []types.Effect {
	ld.advance(now)
	record, ok := ld.owned(event.ID)
	if !ok {
		return nil
	}
	key := ld.works[event.ID]
	switch event.Ran {
	case fault.Ran:
		return ld.ran(key, record, event.Size)
	case fault.NotRun:
		return ld.notRun(key, record, event.Err)
	default:
		record.state = keyUnknown
		return ld.answer(record, Lost, event.Err, false)
	}
}

// Refused records that a work was not admitted.
func (ld *Ledger) Refused(work admit.Work, err *fault.Error) []types.Effect {
	record, ok := ld.owned(work.ID)
	if !ok {
		return nil
	}
	return ld.notRun(ld.works[work.ID], record, err)
}

// Canceled records that the entry no longer waits for a work. It reports
// whether the work is to be withdrawn.
func (ld *Ledger) Canceled(id types.WorkID) ([]types.Effect, bool) {
	key, ok := ld.works[id]
	if !ok {
		return nil, false
	}
	record := ld.keys[key]
	err := fault.New(fault.Canceled, "the caller no longer waits")
	if id != record.first {
		delete(ld.works, id)
		record.leave(id)
		return settle(id, Lost, err, false), false
	}
	if record.detached {
		return nil, false
	}
	if !record.dispatched && len(record.joined) == 0 {
		record.last = true
		return nil, true
	}
	record.detached = true
	return []types.Effect{Settle{Work: id, Verdict: Lost, Err: err}}, false
}

func (rc *keyRecord) leave(id types.WorkID) {
	kept := rc.joined[:0]
	for _, other := range rc.joined {
		if other != id {
			kept = append(kept, other)
		}
	}
	rc.joined = kept
}

// owned returns the record of a work that runs under its key.
func (ld *Ledger) owned(id types.WorkID) (*keyRecord, bool) {
	record, ok := ld.keys[ld.works[id]]
	return record, ok && record.first == id && record.state == keyRunning
}

func (ld *Ledger) ran(key types.Key, record *keyRecord, size int) []types.Effect {
	record.state = keyRan
	record.size = size
	ld.kept = append(ld.kept, key)
	ld.bytes += size
	var effects []types.Effect
	if !record.detached {
		effects = append(effects, Replay{Work: record.first, Of: record.first})
	}
	for _, id := range record.joined {
		effects = append(effects, Replay{Work: id, Of: record.first}, Forget{Work: id})
		delete(ld.works, id)
	}
	delete(ld.works, record.first)
	record.joined = nil
	return append(effects, ld.evict()...)
}

func (ld *Ledger) evict() []types.Effect {
	var effects []types.Effect
	for ld.bytes > ld.maxBytes && len(ld.kept) > 0 {
		key := ld.kept[0]
		ld.kept = ld.kept[1:]
		if !ld.keeps(key) {
			continue
		}
		record := ld.keys[key]
		record.state = keyDropped
		ld.bytes -= record.size
		effects = append(effects, Forget{Work: record.first})
	}
	return effects
}

// notRun marks a key as passed on, unless no other owner will be asked.
func (ld *Ledger) notRun(key types.Key, record *keyRecord, err *fault.Error) []types.Effect {
	record.state = keyPassedOn
	effects := ld.answer(record, NotRun, err, !record.last)
	if record.last {
		delete(ld.keys, key)
	}
	return effects
}

// answer settles the first work and those that joined it.
func (ld *Ledger) answer(record *keyRecord, verdict Verdict, err *fault.Error, passedOn bool) []types.Effect {
	var effects []types.Effect
	if record.detached {
		effects = append(effects, Forget{Work: record.first})
	} else {
		effects = append(effects, settle(record.first, verdict, err, passedOn)...)
	}
	delete(ld.works, record.first)
	for _, id := range record.joined {
		effects = append(effects, settle(id, verdict, err, passedOn)...)
		delete(ld.works, id)
	}
	record.joined = nil
	return effects
}

func settle(id types.WorkID, verdict Verdict, err *fault.Error, passedOn bool) []types.Effect {
	return []types.Effect{Settle{Work: id, Verdict: verdict, Err: err, PassedOn: passedOn}, Forget{Work: id}}
}

func (ld *Ledger) advance(now time.Time) {
	if !ld.started {
		ld.started = true
		ld.latest = now.Round(0)
		ld.swept = now.Unix()
	}
	if now.After(ld.latest) {
		ld.latest = now.Round(0)
	}
}

func (ld *Ledger) schedule(key types.Key, at time.Time) {
	second := max(at.Unix(), ld.swept) + 1
	ld.due[second] = append(ld.due[second], key)
}

// Sweep drops the keys above the retention.
func (ld *Ledger) Sweep(now time.Time) []types.Effect {
	ld.advance(now)
	var effects []types.Effect
	for ; ld.swept < ld.latest.Unix(); ld.swept++ {
		effects = append(effects, ld.drop(ld.swept+1)...)
	}
	for len(ld.kept) > 0 && !ld.keeps(ld.kept[0]) {
		ld.kept = ld.kept[1:]
	}
	return effects
}

func (ld *Ledger) keeps(key types.Key) bool {
	record, ok := ld.keys[key]
	return ok && record.state == keyRan
}

func (ld *Ledger) drop(second int64) []types.Effect {
	var effects []types.Effect
	keys := ld.due[second]
	delete(ld.due, second)
	for _, key := range keys {
		record, ok := ld.keys[key]
		switch {
		case !ok:
			continue
		case record.state == keyRunning:
			ld.schedule(key, ld.latest)
			continue
		case record.state == keyRan:
			ld.bytes -= record.size
			effects = append(effects, Forget{Work: record.first})
		}
		delete(ld.keys, key)
	}
	return effects
}
