package fleet

import (
	"math/bits"
	"slices"
)

const (
	// maxNewsBytes bounds the news of one message.
	maxNewsBytes = 2400
	// maxNewsItems bounds the number of records and reports of one message.
	maxNewsItems = 160
	// reportOverhead is the size of a report besides the name, in bytes.
	reportOverhead = 10
	extraSends     = 3
	// maxReportSends bounds how often each node sends a report; a comparison
	// of views finds those that are missed.
	maxReportSends = 4
)

// news is how far a record has been passed on.
type news struct {
	queued bool
	whole  bool
	sends  int
	turn   uint64
}

type newsItem struct {
	record *record
	turn   uint64
}

// queue orders the records that are to be passed on by how often they were
// sent, the least sent first.
type queue struct {
	levels [][]newsItem
	turn   uint64
	length int
}

// put queues a record anew. A whole record is sent with all its fields, else
// only the version that the member holds. The first goes before all others.
func (qu *queue) put(rc *record, whole, first bool) {
	if rc.news.queued && rc.news.sends == 0 && !first {
		rc.news.whole = rc.news.whole || whole
		return
	}
	if !rc.news.queued {
		qu.length++
		rc.news.whole = false
	}
	rc.news = news{queued: true, whole: rc.news.whole || whole}
	qu.push(rc)
	if first {
		last := len(qu.levels[0]) - 1
		qu.levels[0] = slices.Insert(qu.levels[0][:last], 0, qu.levels[0][last])
	}
}

// drop forgets a record that is no longer in the table.
func (qu *queue) drop(rc *record) {
	if rc.news.queued {
		qu.length--
	}
	rc.news = news{}
}

func (qu *queue) push(rc *record) {
	qu.turn++
	rc.news.turn = qu.turn
	for len(qu.levels) <= rc.news.sends {
		qu.levels = append(qu.levels, nil)
	}
	sends := rc.news.sends
	qu.levels[sends] = append(qu.levels[sends], newsItem{record: rc, turn: qu.turn})
	const slack = 64
	if waiting := len(qu.levels[sends]); waiting > slack && waiting > 2*qu.length {
		qu.levels[sends] = fresh(qu.levels[sends])
	}
}

func fresh(level []newsItem) []newsItem {
	kept := level[:0]
	for _, item := range level {
		if item.valid() {
			kept = append(kept, item)
		}
	}
	return kept
}

func (ni newsItem) valid() bool { return ni.record.news.queued && ni.record.news.turn == ni.turn }

// take adds the least sent news to a message.
func (qu *queue) take(message *Message, limit int) {
	var taken []*record
	room := maxNewsBytes
	for number := range qu.levels {
		level := qu.levels[number]
		used := 0
		for _, item := range level {
			if !item.valid() {
				used++
				continue
			}
			size := item.size()
			if size > room || len(taken) == maxNewsItems {
				room = 0
				break
			}
			room -= size
			used++
			item.add(message)
			taken = append(taken, item.record)
		}
		qu.levels[number] = level[used:]
		if room == 0 {
			break
		}
	}
	for _, rc := range taken {
		qu.sent(rc, limit)
	}
}

func (ni newsItem) size() int {
	if ni.record.news.whole {
		return ni.record.member.size()
	}
	return reportOverhead + len(ni.record.member.ID)
}

func (ni newsItem) add(message *Message) {
	member := ni.record.member
	if ni.record.news.whole {
		message.Members = append(message.Members, member)
		return
	}
	message.Reports = append(message.Reports, Report{ID: member.ID, Held: member.Held})
}

func (qu *queue) sent(rc *record, limit int) {
	rc.news.sends++
	if rc.news.sends >= limit || !rc.news.whole && rc.news.sends >= maxReportSends {
		qu.drop(rc)
		return
	}
	qu.push(rc)
}

// sendLimit is how often each piece of news is sent by each node.
func sendLimit(members int) int { return extraSends + bits.Len(uint(members))/2 }
