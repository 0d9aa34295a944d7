package fleet

import (
	"hash/fnv"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// syncAfter is how long views must differ before records are compared.
	syncAfter    = 5 * time.Second
	syncInterval = 5 * time.Second
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

func (tb *Table) differing(theirs []uint64) []int {
	var parts []int
	for number, sum := range theirs {
		if sum != tb.sums[number] {
			parts = append(parts, number)
		}
	}
	return parts
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
	if len(answer.Buckets) == bucketCount {
		message := tb.message(rc.belief())
		message.Members = append(message.Members, tb.recordsOf(tb.differing(answer.Buckets), maxSyncRecords, now)...)
		return []types.Effect{SendExchange{Peer: rc.member.ID, Address: rc.member.Address, Epoch: tb.joining.epoch, Message: message}}
	}
	if answer.View == tb.View() {
		tb.timing.differSince = time.Time{}
		return nil
	}
	if tb.timing.differSince.IsZero() {
		tb.timing.differSince = now
	}
	if now.Sub(tb.timing.differSince) < syncAfter || now.Before(tb.timing.sync) {
		return nil
	}
	tb.timing.sync = now.Add(syncInterval/2 + time.Duration(tb.rand.Int64N(int64(syncInterval))))
	message := tb.message(rc.belief())
	message.Buckets = slices.Clone(tb.sums[:])
	return []types.Effect{SendExchange{Peer: rc.member.ID, Address: rc.member.Address, Epoch: tb.joining.epoch, Message: message}}
}
