package fleet

import (
	"hash/fnv"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// syncAfter is how long the view hashes of this node and its peers must
	// differ before bucket hashes are compared.
	syncAfter = 3 * time.Second
	// syncInterval is the mean time between comparisons of records.
	syncInterval = 5 * time.Second
	// heldSyncInterval is the mean time between comparisons of the configuration
	// versions held.
	heldSyncInterval = time.Second
	// maxFullRecords bounds the number of records in a full reply.
	maxFullRecords = 8000
	// maxSyncRecords bounds the number of records in a repair message.
	maxSyncRecords = 200
)

func bucketOf(id types.InstanceID) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return int(hash.Sum32() % bucketCount)
}

func allBuckets() []int {
	all := make([]int, bucketCount)
	for bucket := range all {
		all[bucket] = bucket
	}
	return all
}

// hasBucketHashes reports whether the message has the sender's bucket hashes,
// which ask for the records of the buckets that differ.
func (m Message) hasBucketHashes() bool {
	return len(m.BucketHashes) == bucketCount && len(m.HeldBucketHashes) == bucketCount
}

// addBucketHashes adds the hashes of all buckets to a message.
func (tb *Table) addBucketHashes(message *Message) {
	for _, hash := range tb.bucketHashes {
		message.BucketHashes = append(message.BucketHashes, hash.records)
		message.HeldBucketHashes = append(message.HeldBucketHashes, hash.held)
	}
}

// repair adds the records of the buckets whose hashes differ from those in a
// peer's message. For a bucket in which only the versions held differ, it adds
// reports of these versions.
func (tb *Table) repair(message *Message, remote Message, now time.Time) {
	message.Repair = true
	var indexes []int
	for bucket, hash := range tb.bucketHashes {
		if hash.records != remote.BucketHashes[bucket] {
			indexes = append(indexes, bucket)
		} else if hash.held != remote.HeldBucketHashes[bucket] {
			tb.addReports(message, bucket)
		}
	}
	message.Members = append(message.Members, tb.recordsOf(indexes, maxSyncRecords, now)...)
}

func (tb *Table) addReports(message *Message, bucket int) {
	for _, rc := range tb.buckets[bucket] {
		message.Reports = append(message.Reports, VersionReport{ID: rc.member.ID, HeldVersion: rc.member.HeldVersion})
	}
}

// recordsOf returns the records of the given buckets, up to a limit. It starts at
// a random bucket, so that repeated calls cover all buckets despite the limit.
func (tb *Table) recordsOf(indexes []int, limit int, now time.Time) []Member {
	var members []Member
	if len(indexes) == 0 {
		return nil
	}
	start := tb.rand.IntN(len(indexes))
	for offset := range indexes {
		for _, rc := range tb.buckets[indexes[(start+offset)%len(indexes)]] {
			if len(members) == limit {
				return members
			}
			members = append(members, rc.memberAt(now))
		}
	}
	return members
}

// memberAt returns the member's record for a message sent at now, with GoneFor
// set if the member is gone.
func (rc *record) memberAt(now time.Time) Member {
	if !rc.member.Gone() {
		return rc.member
	}
	return rc.member.WithGoneFor(now.Sub(rc.goneAt))
}

// syncWith runs anti-entropy with a peer that replied. If the reply has bucket
// hashes, it sends the peer the records of the buckets that differ. Otherwise it
// sends this node's bucket hashes if a comparison is due.
func (tb *Table) syncWith(rc *record, answer Message, now time.Time) []types.Effect {
	if answer.hasBucketHashes() {
		message := tb.message(rc.statusToRefute())
		tb.repair(&message, answer, now)
		return []types.Effect{SendExchange{Peer: rc.member.ID, Address: rc.member.Address, Epoch: tb.joining.epoch, Message: message}}
	}
	if !tb.syncDue(answer, now) {
		return nil
	}
	message := tb.message(rc.statusToRefute())
	tb.addBucketHashes(&message)
	return []types.Effect{SendExchange{Peer: rc.member.ID, Address: rc.member.Address, Epoch: tb.joining.epoch, Message: message}}
}

// syncDue reports whether a comparison with a peer is due, and if so schedules the
// earliest time of the next one. A comparison is due in two cases. In the first
// case, the versions held differ, no gossip is queued and about heldSyncInterval
// has passed since the last comparison of this case. In the second case, the view
// hashes have differed for at least syncAfter and about syncInterval has passed
// since the last comparison of this case.
func (tb *Table) syncDue(answer Message, now time.Time) bool {
	view, tm := tb.viewHashes(), &tb.timing
	if answer.HeldHash != view.held && tb.queue.length == 0 && !now.Before(tm.heldSync) {
		tm.heldSync = now.Add(tb.jitter(heldSyncInterval))
		return true
	}
	if answer.ViewHash == view.records {
		tm.viewsDifferSince = time.Time{}
		return false
	}
	if tm.viewsDifferSince.IsZero() {
		tm.viewsDifferSince = now
	}
	if now.Sub(tm.viewsDifferSince) < syncAfter || now.Before(tm.sync) {
		return false
	}
	tm.sync = now.Add(tb.jitter(syncInterval))
	return true
}

// jitter returns a random duration between 0.5 and 1.5 times wait.
func (tb *Table) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(tb.rand.Int64N(int64(wait)))
}
