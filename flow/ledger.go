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
	// ledgerRetryAfter is the retry-after time of work that the ledger refuses.
	ledgerRetryAfter = 500 * time.Millisecond
)

// keyState says what became of the work with an idempotency key.
type keyState int

const (
	// keyRunning means that the work is queued or running.
	keyRunning keyState = iota + 1
	// keyRan means that the work ran and its answer is stored.
	keyRan
	// keyDropped means that the work ran and its answer is no longer stored.
	keyDropped
	// keyDeclined means that the work did not run and that this node will never
	// run the key, so that the entry node may ask another owner.
	keyDeclined
	// keyUnknown means that the work was sent to the upstream and may have run.
	keyUnknown
)

// Ledger is the record of idempotency keys at an owner node. It holds the state of
// each key that arrived with non-idempotent work. A work item is one attempt at a
// call, as seen by the owner node. The mint time of a key is the time at which the
// caller created the key; the key contains this time.
type Ledger struct {
	limits   KeyLimits
	maxKeys  int
	maxBytes int
	// completeSince is the start of the period that the ledger covers. If a key
	// was minted at least limits.Margin after completeSince, and outside the gaps,
	// its work cannot have run without a record in this ledger: neither at another
	// owner node nor in an earlier process of this node.
	completeSince time.Time
	// gaps holds time ranges after completeSince that the ledger does not cover. If
	// a key was minted in such a range, its work may have run without a record in
	// this ledger.
	gaps []gap
	// clock is the latest time that the ledger has seen. It never moves back.
	clock time.Time
	// started is true once clock is set.
	started bool
	keys    map[types.Key]*keyRecord
	// works holds the keys of the work items that are queued or running.
	works map[types.WorkID]types.Key
	// expiring holds the keys to remove, by the Unix second in which they expire.
	expiring map[int64][]types.Key
	// sweptUntil is the last Unix second whose expired keys were removed.
	sweptUntil int64
	// answered lists the keys whose answers are stored, oldest first.
	answered []types.Key
	// answerBytes is the total size of the stored answers.
	answerBytes int
}

// keyRecord holds the state of one idempotency key.
type keyRecord struct {
	state keyState
	// fingerprint is the hash of the request that used the key first.
	fingerprint uint64
	minted      time.Time
	// firstWork is the work item that used the key first.
	firstWork types.WorkID
	// last is true if no other owner node will be asked to run the key, or if the
	// work was canceled before it was dispatched. If the work does not run, the
	// key is then deleted instead of kept as declined.
	last bool
	// dispatched is true if the work was sent to the upstream.
	dispatched bool
	// detached is true if the caller of firstWork no longer waits.
	detached bool
	// joined holds the later work items with the same key, which wait for the
	// outcome of firstWork.
	joined []types.WorkID
	// answerSize is the size of the stored answer in bytes.
	answerSize int
}

// LedgerOption configures a Ledger.
type LedgerOption func(*Ledger)

// WithMaxKeys sets the maximum number of keys.
func WithMaxKeys(limit int) LedgerOption {
	return func(ld *Ledger) { ld.maxKeys = limit }
}

// WithMaxBytes sets the maximum total size of the stored answers in bytes.
func WithMaxBytes(limit int) LedgerOption {
	return func(ld *Ledger) { ld.maxBytes = limit }
}

// NewLedger returns a ledger without keys.
func NewLedger(limits KeyLimits, opts ...LedgerOption) *Ledger {
	ld := &Ledger{
		limits:   limits,
		maxKeys:  defaultMaxKeys,
		maxBytes: defaultMaxBytes,
		keys:     map[types.Key]*keyRecord{},
		works:    map[types.WorkID]types.Key{},
		expiring: map[int64][]types.Key{},
	}
	for _, opt := range opts {
		opt(ld)
	}
	return ld
}

// Len returns the number of stored keys.
func (ld *Ledger) Len() int { return len(ld.keys) }

// InProgressCount returns the number of work items that are queued or running.
func (ld *Ledger) InProgressCount() int { return len(ld.works) }

// IsInProgress reports whether a work item is queued or running.
func (ld *Ledger) IsInProgress(id types.WorkID) bool {
	_, ok := ld.works[id]
	return ok
}

// MarkIncompleteBefore marks the ledger as incomplete for all keys minted
// before now: other nodes, or an earlier process of this one, may have run
// them.
func (ld *Ledger) MarkIncompleteBefore(now time.Time) {
	if now.After(ld.completeSince) {
		ld.completeSince = now
	}
}

// maxGaps is the maximum number of stored gaps. If one more is recorded, the
// oldest gap is removed, and the ledger counts as incomplete for all keys minted
// before the end of that gap.
const maxGaps = 64

// gap is a range of mint times; to is excluded.
type gap struct{ from, to time.Time }

// RecordGap records an absence of the node: between the two given times, the node
// accepted no work but stayed joined to the fleet. The recorded gap starts and
// ends later than the absence by the margin, which is how long it may take until
// all entry nodes know that the node left or returned. Keys minted less than the
// margin after the start of the absence were still sent to this node first. Keys
// minted after that, and less than the margin after the end of the absence, may
// have run at other owner nodes.
func (ld *Ledger) RecordGap(left, back time.Time) {
	if len(ld.gaps) == maxGaps {
		ld.completeSince = ld.gaps[0].to.Add(-ld.limits.Margin)
		ld.gaps = ld.gaps[1:]
	}
	ld.gaps = append(ld.gaps, gap{from: left.Add(ld.limits.Margin), to: back.Add(ld.limits.Margin)})
}

// complete reports whether the ledger has a record of every used key with the
// given mint time. A key without a record is then new.
func (ld *Ledger) complete(minted time.Time) bool {
	for _, incomplete := range ld.gaps {
		if !minted.Before(incomplete.from) && minted.Before(incomplete.to) {
			return false
		}
	}
	return ld.limits.Covers(minted, ld.completeSince)
}

// HasKey reports whether the key of a work item is recorded.
func (ld *Ledger) HasKey(work admit.WorkItem) bool {
	key, _, err := ParseKey(work.Key.Or(""))
	_, ok := ld.keys[key]
	return err == nil && ok
}

// RecordArrival records the key of a new work item and reports whether the work
// item may be admitted. The work item may not be admitted if the key is recorded
// already, if the ledger cannot tell whether the key was used before, if the
// ledger is full, or if the key is malformed, too old or from the future. In these
// cases the returned effects answer the work item, unless it must wait for the
// outcome of a work item with the same key.
func (ld *Ledger) RecordArrival(work admit.WorkItem, now time.Time) ([]types.Effect, bool) {
	ld.advanceClock(now)
	key, minted, err := ParseKey(work.Key.Or(""))
	if err != nil {
		return settle(work.ID, NotRun, err, false), false
	}
	if err := ld.limits.Check(minted, ld.clock); err != nil {
		return settle(work.ID, Lost, err, false), false
	}
	if record, ok := ld.keys[key]; ok {
		return ld.handleRepeat(work, key, record), false
	}
	if !ld.complete(minted) {
		err := fault.New(fault.OutcomeUnknown, "the owner cannot know keys minted at %s", minted.UTC().Format(time.RFC3339))
		return settle(work.ID, Lost, err, false), false
	}
	if len(ld.keys) >= ld.maxKeys {
		err := fault.New(fault.Overloaded, "the owner remembers %d keys and takes no more", ld.maxKeys).WithRetryAfter(ledgerRetryAfter)
		return settle(work.ID, NotRun, err, false), false
	}
	ld.keys[key] = &keyRecord{state: keyRunning, fingerprint: work.Fingerprint, minted: minted, firstWork: work.ID, last: work.LastOwner}
	ld.works[work.ID] = key
	ld.scheduleExpiry(key, minted.Add(ld.limits.Retention))
	return nil, true
}

// handleRepeat answers a work item whose key is recorded. If the first work item
// with the key is still queued or running, the new one waits for its outcome.
func (ld *Ledger) handleRepeat(work admit.WorkItem, key types.Key, record *keyRecord) []types.Effect {
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
			Replay{Work: work.ID, Of: record.firstWork},
			DeleteWork{Work: work.ID},
		}
	case keyDropped:
		return settle(work.ID, Lost, fault.New(fault.OutcomeUnknown, "the work ran and its answer is no longer kept"), false)
	case keyDeclined:
		err := fault.New(fault.Overloaded, "the owner passed the key on").WithOutcome(fault.Unknown).WithRetryAfter(ledgerRetryAfter)
		return settle(work.ID, NotRun, err, true)
	default:
		return settle(work.ID, Lost, fault.New(fault.OutcomeUnknown, "the work was sent and may have run"), false)
	}
}

// RecordDispatch records that a work item was sent to the upstream.
func (ld *Ledger) RecordDispatch(id types.WorkID) {
	if record, ok := ld.runningRecord(id); ok {
		record.dispatched = true
	}
}

// RecordEnd records the outcome of a work item and answers all work items that
// wait for it.
func (ld *Ledger) RecordEnd(event admit.Ended, now time.Time) []types.Effect {
	ld.advanceClock(now)
	record, ok := ld.runningRecord(event.ID)
	if !ok {
		return nil
	}
	key := ld.works[event.ID]
	switch event.Outcome {
	case fault.Ran:
		return ld.settleRan(key, record, event.Size)
	case fault.NotRun:
		return ld.settleNotRun(key, record, event.Err)
	default:
		record.state = keyUnknown
		return ld.settleAll(record, Lost, event.Err, false)
	}
}

// RecordRefusal records that a work item was refused on arrival or while it was
// queued, and answers all work items with the same key that wait for its outcome.
func (ld *Ledger) RecordRefusal(work admit.WorkItem, err *fault.Error) []types.Effect {
	record, ok := ld.runningRecord(work.ID)
	if !ok {
		return nil
	}
	return ld.settleNotRun(ld.works[work.ID], record, err)
}

// RecordCancellation records that the entry node no longer waits for a work
// item. It reports whether the work item must be withdrawn from the queue. A
// work item that was dispatched, or for whose outcome other work items wait,
// is not withdrawn, but answered by the returned effects. The same holds for a
// work item that waits for the outcome of another one.
func (ld *Ledger) RecordCancellation(id types.WorkID) ([]types.Effect, bool) {
	key, ok := ld.works[id]
	if !ok {
		return nil, false
	}
	record := ld.keys[key]
	err := fault.New(fault.Canceled, "the caller no longer waits")
	if id != record.firstWork {
		delete(ld.works, id)
		record.removeJoined(id)
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

// removeJoined removes a work item that waits for the outcome of another one.
func (rc *keyRecord) removeJoined(id types.WorkID) {
	kept := rc.joined[:0]
	for _, other := range rc.joined {
		if other != id {
			kept = append(kept, other)
		}
	}
	rc.joined = kept
}

// runningRecord returns the record of the key of a work item, if the work item is
// the first one with the key and has no outcome yet.
func (ld *Ledger) runningRecord(id types.WorkID) (*keyRecord, bool) {
	record, ok := ld.keys[ld.works[id]]
	return record, ok && record.firstWork == id && record.state == keyRunning
}
