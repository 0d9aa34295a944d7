package fleet

import (
	"math/bits"
	"slices"
)

const (
	// maxGossipBytes bounds the size of the queued gossip in one message.
	maxGossipBytes = 2400
	// maxGossipItems bounds the number of queued records and reports in one
	// message.
	maxGossipItems = 160
	// reportOverhead is the encoded size of a report in bytes, excluding the
	// instance ID.
	reportOverhead = 10
	// baseSends is the constant term of sendLimit.
	baseSends = 3
	// maxReportSends bounds how often each node sends the same report. Peers
	// that miss the report get it in an anti-entropy comparison.
	maxReportSends = 4
)

// gossipState tracks how often a queued record has been sent.
type gossipState struct {
	queued bool
	// fullRecord is true if the complete record is to be sent, and false if
	// only a report of the configuration version that the member holds.
	fullRecord bool
	sends      int
	// seq is the sequence number of the record's latest queue item. Older items
	// of the record are stale.
	seq uint64
}

type gossipItem struct {
	record *record
	seq    uint64
}

// gossipQueue orders the records to be gossiped by how often they have been
// sent, the least sent first. levels[i] has the records that were sent i times,
// and possibly stale items, which are skipped.
type gossipQueue struct {
	levels [][]gossipItem
	seq    uint64
	length int
}

// enqueue adds a record with its send count reset to zero. If fullRecord is
// false, only a report of the version that the member holds is sent, unless the
// full record is queued already. If front is true, the record goes before all
// others.
func (qu *gossipQueue) enqueue(rc *record, fullRecord, front bool) {
	if rc.gossip.queued && rc.gossip.sends == 0 && !front {
		rc.gossip.fullRecord = rc.gossip.fullRecord || fullRecord
		return
	}
	if !rc.gossip.queued {
		qu.length++
		rc.gossip.fullRecord = false
	}
	rc.gossip = gossipState{queued: true, fullRecord: rc.gossip.fullRecord || fullRecord}
	qu.appendToLevel(rc)
	if front {
		last := len(qu.levels[0]) - 1
		qu.levels[0] = slices.Insert(qu.levels[0][:last], 0, qu.levels[0][last])
	}
}

// dequeue removes a record. Its remaining queue items become stale.
func (qu *gossipQueue) dequeue(rc *record) {
	if rc.gossip.queued {
		qu.length--
	}
	rc.gossip = gossipState{}
}

// appendToLevel adds an item for a record to the level of its send count. It
// removes stale items if they make up more than half of a long level.
func (qu *gossipQueue) appendToLevel(rc *record) {
	qu.seq++
	rc.gossip.seq = qu.seq
	for len(qu.levels) <= rc.gossip.sends {
		qu.levels = append(qu.levels, nil)
	}
	sends := rc.gossip.sends
	qu.levels[sends] = append(qu.levels[sends], gossipItem{record: rc, seq: qu.seq})
	const minCompactLength = 64
	if entries := len(qu.levels[sends]); entries > minCompactLength && entries > 2*qu.length {
		qu.levels[sends] = removeStale(qu.levels[sends])
	}
}

func removeStale(level []gossipItem) []gossipItem {
	kept := level[:0]
	for _, item := range level {
		if item.valid() {
			kept = append(kept, item)
		}
	}
	return kept
}

// valid reports whether the item is the latest queue item of its record and the
// record is still queued.
func (gi gossipItem) valid() bool { return gi.record.gossip.queued && gi.record.gossip.seq == gi.seq }

// fillMessage adds the least sent records to a message, up to maxGossipBytes and
// maxGossipItems. A record is removed from the queue after limit sends.
func (qu *gossipQueue) fillMessage(message *Message, limit int) {
	var taken []*record
	remaining := maxGossipBytes
	for i := range qu.levels {
		level := qu.levels[i]
		consumed := 0
		for _, item := range level {
			if !item.valid() {
				consumed++
				continue
			}
			size := item.size()
			if size > remaining || len(taken) == maxGossipItems {
				remaining = 0
				break
			}
			remaining -= size
			consumed++
			item.add(message)
			taken = append(taken, item.record)
		}
		qu.levels[i] = level[consumed:]
		if remaining == 0 {
			break
		}
	}
	for _, rc := range taken {
		qu.markSent(rc, limit)
	}
}

func (gi gossipItem) size() int {
	if gi.record.gossip.fullRecord {
		return gi.record.member.size()
	}
	return reportOverhead + len(gi.record.member.ID)
}

func (gi gossipItem) add(message *Message) {
	member := gi.record.member
	if gi.record.gossip.fullRecord {
		message.Members = append(message.Members, member)
		return
	}
	message.Reports = append(message.Reports, VersionReport{ID: member.ID, HeldVersion: member.HeldVersion})
}

func (qu *gossipQueue) markSent(rc *record, limit int) {
	rc.gossip.sends++
	if rc.gossip.sends >= limit || !rc.gossip.fullRecord && rc.gossip.sends >= maxReportSends {
		qu.dequeue(rc)
		return
	}
	qu.appendToLevel(rc)
}

// sendLimit returns how often each node sends a queued record. It grows with the
// logarithm of the number of members.
func sendLimit(members int) int { return baseSends + bits.Len(uint(members))/2 }
