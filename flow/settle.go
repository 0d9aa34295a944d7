package flow

import (
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// settleRan stores the answer of a work item and sends it to all work items that
// wait for it.
func (ld *Ledger) settleRan(key types.Key, record *keyRecord, answerSize int) []types.Effect {
	record.state = keyRan
	record.answerSize = answerSize
	ld.answered = append(ld.answered, key)
	ld.answerBytes += answerSize
	var effects []types.Effect
	if !record.detached {
		effects = append(effects, Replay{Work: record.firstWork, Of: record.firstWork})
	}
	for _, id := range record.joined {
		effects = append(effects, Replay{Work: id, Of: record.firstWork}, DeleteWork{Work: id})
		delete(ld.works, id)
	}
	delete(ld.works, record.firstWork)
	record.joined = nil
	return append(effects, ld.evict()...)
}

// evict deletes the oldest answers while their total size is above maxBytes.
func (ld *Ledger) evict() []types.Effect {
	var effects []types.Effect
	for ld.answerBytes > ld.maxBytes && len(ld.answered) > 0 {
		key := ld.answered[0]
		ld.answered = ld.answered[1:]
		if !ld.hasAnswer(key) {
			continue
		}
		record := ld.keys[key]
		record.state = keyDropped
		ld.answerBytes -= record.answerSize
		effects = append(effects, DeleteWork{Work: record.firstWork})
	}
	return effects
}

// settleNotRun marks a key as declined, so that this node never runs work with
// the key. If no other owner node will be asked to run the key, settleNotRun
// deletes the key instead.
func (ld *Ledger) settleNotRun(key types.Key, record *keyRecord, err *fault.Error) []types.Effect {
	record.state = keyDeclined
	effects := ld.settleAll(record, NotRun, err, !record.last)
	if record.last {
		delete(ld.keys, key)
	}
	return effects
}

// settleAll answers the first work item with a key and all work items that wait
// for its outcome.
func (ld *Ledger) settleAll(record *keyRecord, verdict Verdict, err *fault.Error, keyDeclined bool) []types.Effect {
	var effects []types.Effect
	if record.detached {
		effects = append(effects, DeleteWork{Work: record.firstWork})
	} else {
		effects = append(effects, settle(record.firstWork, verdict, err, keyDeclined)...)
	}
	delete(ld.works, record.firstWork)
	for _, id := range record.joined {
		effects = append(effects, settle(id, verdict, err, keyDeclined)...)
		delete(ld.works, id)
	}
	record.joined = nil
	return effects
}

// settle returns the effects that answer a work item and delete it.
func settle(id types.WorkID, verdict Verdict, err *fault.Error, keyDeclined bool) []types.Effect {
	return []types.Effect{Settle{Work: id, Verdict: verdict, Err: err, KeyDeclined: keyDeclined}, DeleteWork{Work: id}}
}
