package fleet

import (
	"hash/fnv"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// syncAfter is how long views must differ before records are compared.
	syncAfter    = 3 * time.Second
	syncInterval = 5 * time.Second
	// heldSyncInterval is the time between comparisons of versions held.
	heldSyncInterval = time.Second
	// maxRecords bounds the records of a message that asks for all.
	maxRecords = 8000
	// maxSyncRecords bounds the records of a comparison.
	maxSyncRecords = 200
)

func bucketOf(id types.InstanceID) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return int(hash.Sum32() % bucketCount)
}

func allBuckets() []int {
	all := make([]int, bucketCount)
	for number := range all {
		all[number] = number
	}
	return all
}

// compares reports whether the message asks for the parts that differ.
func (m Message) compares() bool {
	return len(m.Buckets) == bucketCount && len(m.HeldBuckets) == bucketCount
}

// addBuckets adds the hashes of all parts of the table.
func (tb *Table) addBuckets(message *Message) {
	for _, part := range tb.sums {
		message.Buckets = append(message.Buckets, part.records)
		message.HeldBuckets = append(message.HeldBuckets, part.held)
	}
}

// repair adds the records of the parts that differ from those of a peer, and
// reports where only the versions held differ.
func (tb *Table) repair(message *Message, theirs Message, now time.Time) {
	message.Repair = true
	var parts []int
	for number, part := range tb.sums {
		if part.records != theirs.Buckets[number] {
			parts = append(parts, number)
		} else if part.held != theirs.HeldBuckets[number] {
			tb.addReports(message, number)
		}
	}
	message.Members = append(message.Members, tb.recordsOf(parts, maxSyncRecords, now)...)
}

func (tb *Table) addReports(message *Message, number int) {
	for _, rc := range tb.buckets[number] {
		message.Reports = append(message.Reports, Report{ID: rc.member.ID, Held: rc.member.Held})
	}
}

// recordsOf returns the records of some buckets, starting at any of them.
func (tb *Table) recordsOf(parts []int, limit int, now time.Time) []Member {
	var members []Member
	if len(parts) == 0 {
		return nil
	}
	start := tb.rand.IntN(len(parts))
	for offset := range parts {
		for _, rc := range tb.buckets[parts[(start+offset)%len(parts)]] {
			if len(members) == limit {
				return members
			}
			members = append(members, rc.aged(now))
		}
	}
	return members
}

func (rc *record) aged(now time.Time) Member {
	if !rc.member.Gone() {
		return rc.member
	}
	return rc.member.WithGoneFor(now.Sub(rc.goneAt))
}

// syncWith compares records with a peer if the views have differed for long,
// and returns the peer the records that it lacks.
func (tb *Table) syncWith(rc *record, answer Message, now time.Time) []types.Effect {
	if answer.compares() {
		message := tb.message(rc.belief())
		tb.repair(&message, answer, now)
		return []types.Effect{SendExchange{Peer: rc.member.ID, Address: rc.member.Address, Epoch: tb.joining.epoch, Message: message}}
	}
	if !tb.syncDue(answer, now) {
		return nil
	}
	message := tb.message(rc.belief())
	tb.addBuckets(&message)
	return []types.Effect{SendExchange{Peer: rc.member.ID, Address: rc.member.Address, Epoch: tb.joining.epoch, Message: message}}
}

// syncDue reports whether the records have differed for long, or the versions
// held do once all news is passed on.
func (tb *Table) syncDue(answer Message, now time.Time) bool {
	view, tm := tb.sum(), &tb.timing
	if answer.HeldView != view.held && tb.queue.length == 0 && !now.Before(tm.heldSync) {
		tm.heldSync = now.Add(tb.jitter(heldSyncInterval))
		return true
	}
	if answer.View == view.records {
		tm.differSince = time.Time{}
		return false
	}
	if tm.differSince.IsZero() {
		tm.differSince = now
	}
	if now.Sub(tm.differSince) < syncAfter || now.Before(tm.sync) {
		return false
	}
	tm.sync = now.Add(tb.jitter(syncInterval))
	return true
}

// jitter returns a time of half to one and a half times another.
func (tb *Table) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(tb.rand.Int64N(int64(wait)))
}
