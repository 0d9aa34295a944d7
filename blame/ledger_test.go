package blame_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/types"
)

const (
	culprit   = types.ContentHash(0xc)
	bystander = types.ContentHash(0xb)
	other     = types.ContentHash(0xa)

	ranFor = 50 * time.Millisecond
)

var start = time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)

// nodes are the ledgers of a fleet whose reports take no time.
type nodes struct {
	ledgers []*blame.Ledger
	now     time.Time
}

func newNodes(count int) *nodes {
	ns := &nodes{now: start}
	for number := range count {
		ns.ledgers = append(ns.ledgers, blame.NewLedger(types.InstanceID(fmt.Sprintf("i%d", number))))
	}
	return ns
}

// crash ends the upstream of a node that has run the given requests since ranFor.
func (ns *nodes) crash(node int, contents ...types.ContentHash) {
	var runs []blame.Run
	for _, content := range contents {
		runs = append(runs, blame.Run{Content: content, Elapsed: ranFor})
	}
	ns.ledgers[node].RecordCrash(runs, ns.now, ns.now)
	ns.spread(node)
}

func (ns *nodes) finish(node int, content types.ContentHash) {
	if ns.ledgers[node].RecordFinished(content, ns.now).News {
		ns.spread(node)
	}
}

// spread sends what a node has learned to all others, and what these learn from it.
func (ns *nodes) spread(node int) {
	for i, ledger := range ns.ledgers {
		if i != node && ledger.Merge(ns.ledgers[node].Fresh(ns.now), ns.now).News {
			ns.spread(i)
		}
	}
}

func (ns *nodes) wait(length time.Duration) { ns.now = ns.now.Add(length) }

// held returns the requests that all nodes hold back, and fails if nodes differ.
func (ns *nodes) held(t *testing.T) []types.ContentHash {
	t.Helper()
	ns.wait(200 * time.Millisecond)
	held := contentsOf(ns.ledgers[0].Holds(ns.now))
	for _, ledger := range ns.ledgers[1:] {
		if others := contentsOf(ledger.Holds(ns.now)); !slices.Equal(held, others) {
			t.Fatalf("nodes hold back %v and %v", held, others)
		}
	}
	return held
}

func contentsOf(holds []blame.Hold) []types.ContentHash {
	var contents []types.ContentHash
	for _, hold := range holds {
		contents = append(contents, hold.Content)
	}
	return contents
}

func TestRequestThatEndsUpstreamsIsHeldAndOthersAreNot(t *testing.T) {
	check := is.New(t)
	ns := newNodes(4)
	ns.crash(0, culprit, bystander, 1)
	ns.wait(time.Second)
	ns.crash(1, culprit, bystander, 2)
	check.Equal(ns.held(t), nil) // two crashes are not enough
	ns.wait(time.Second)
	ns.crash(2, culprit, 3)
	_, early := ns.ledgers[3].Held(culprit, ns.now)
	check.True(!early) // others may tell that it has run to its end
	check.Equal(ns.held(t), []types.ContentHash{culprit})
	hold, _ := ns.ledgers[3].Held(culprit, ns.now)
	check.Equal(hold.Crashes, 3)
	check.Equal(hold.Instances, 3)
}

func TestPopularRequestIsNotHeld(t *testing.T) {
	check := is.New(t)
	ns := newNodes(4)
	for round := range 12 {
		ns.finish(3, bystander)
		ns.crash(round%3, culprit, bystander)
		ns.wait(300 * time.Millisecond)
		ns.finish(3, bystander)
		ns.wait(700 * time.Millisecond)
	}
	check.Equal(ns.held(t), []types.ContentHash{culprit})
	ns = newNodes(4)
	for round := range 12 {
		ns.crash(round%3, bystander) // upstreams end by themselves
		ns.wait(time.Second)
		ns.finish(3, bystander)
	}
	check.Equal(ns.held(t), nil)
}

// TestUpstreamsThatEndAtOnceProveNothing guards against holding back what ran at a rack
// that failed, also if it was tried again at a part of the rack that failed a little
// later.
func TestUpstreamsThatEndAtOnceProveNothing(t *testing.T) {
	check := is.New(t)
	ns := newNodes(6)
	for node := range 5 {
		ns.crash(node, bystander)
		ns.wait(100 * time.Millisecond)
	}
	check.Equal(ns.held(t), nil)
	trial, ok := ns.ledgers[5].Trial(bystander, ns.now)
	check.True(ok)
	check.Equal(trial.Turn, -1) // but it waits a little
	for turn := range 3 {
		ns.wait(trial.Next.Sub(ns.now))
		trial, ok = ns.ledgers[5].Trial(bystander, ns.now)
		check.True(ok)
		check.Equal(trial.Turn, turn)
	}
	ns.finish(5, bystander)
	_, ok = ns.ledgers[0].Trial(bystander, ns.now)
	check.True(!ok)
	ns.crash(5, bystander)
	check.Equal(ns.held(t), nil)
}

func TestUpstreamThatEndsByItselfProvesLittle(t *testing.T) {
	check := is.New(t)
	ns := newNodes(2)
	for round := range 5 {
		ns.crash(0, bystander, types.ContentHash(100+round))
		ns.wait(2 * time.Second)
	}
	check.Equal(ns.held(t), nil)
	ns.crash(0, bystander)
	check.Equal(ns.held(t), []types.ContentHash{bystander}) // the only upstream of its service
}

// TestTwoThatAlwaysRanTogetherAreToldApart checks that neither of two requests is held
// back as long as nothing tells which of them ends upstreams.
func TestTwoThatAlwaysRanTogetherAreToldApart(t *testing.T) {
	check := is.New(t)
	ns := newNodes(5)
	for node := range 4 {
		ns.crash(node, culprit, bystander)
		ns.wait(time.Second)
	}
	check.Equal(ns.held(t), nil)
	check.True(ns.ledgers[4].Undecided())
	check.True(ns.ledgers[4].Rivals(culprit, bystander))
	check.True(!ns.ledgers[4].Rivals(culprit, other))
	ns.crash(4, culprit)
	check.Equal(ns.held(t), []types.ContentHash{culprit})
	check.True(!ns.ledgers[4].Undecided())
}

func TestTwoRequestsThatEndUpstreamsAreBothHeld(t *testing.T) {
	check := is.New(t)
	ns := newNodes(4)
	for round := range 4 {
		ns.crash(round, culprit, bystander)
		ns.wait(time.Second)
		ns.crash(3-round, other, types.ContentHash(100+round))
		ns.wait(time.Second)
		ns.finish(round, bystander)
	}
	check.Equal(ns.held(t), []types.ContentHash{other, culprit})
}

func TestHoldEndsByARunToTheEndAnOperatorAndTime(t *testing.T) {
	check := is.New(t)
	hold := func() *nodes {
		ns := newNodes(3)
		for node := range 3 {
			ns.crash(node, culprit)
			ns.wait(time.Second)
		}
		check.Equal(ns.held(t), []types.ContentHash{culprit})
		return ns
	}
	ns := hold()
	ns.finish(1, culprit) // it was running before the hold
	check.Equal(ns.held(t), nil)

	ns = hold()
	_, ok := ns.ledgers[2].Lift(culprit, ns.now)
	check.True(ok)
	ns.spread(2)
	check.Equal(ns.held(t), nil)
	ns.crash(0, culprit)
	check.Equal(ns.held(t), nil) // earlier crashes do not count any more
	_, ok = ns.ledgers[2].Lift(bystander, ns.now)
	check.True(!ok)

	ns = hold()
	check.Equal(len(ns.ledgers[0].Tick(ns.now).Held), 1)
	ns.wait(time.Minute)
	check.Equal(ns.held(t), nil)
	check.Equal(ns.ledgers[0].Tick(ns.now).Released, []types.ContentHash{culprit})
	for _, length := range []time.Duration{2 * time.Minute, 4 * time.Minute, 8 * time.Minute, 16 * time.Minute, 16 * time.Minute} {
		ns.crash(0, culprit)
		check.Equal(ns.held(t), []types.ContentHash{culprit}) // one more crash is enough
		ns.wait(length - time.Minute)
		check.Equal(ns.held(t), []types.ContentHash{culprit})
		ns.wait(time.Minute)
		check.Equal(ns.held(t), nil)
		trial, ok := ns.ledgers[1].Trial(culprit, ns.now)
		check.True(ok)
		check.Equal(trial.Turn, 0)
	}
	ns.wait(2 * time.Hour)
	for _, ledger := range ns.ledgers {
		ledger.Tick(ns.now)
		check.Equal(ledger.Hash(), uint64(0)) // all is forgotten
	}
}

func TestNodeThatJoinsLearnsOfHolds(t *testing.T) {
	check := is.New(t)
	ns := newNodes(3)
	for node := range 3 {
		ns.crash(node, culprit)
		ns.wait(time.Second)
	}
	ns.wait(time.Minute)
	for number := range 200 {
		ns.crash(0, types.ContentHash(1000+number)) // later crashes, more than a report carries
	}
	joined := blame.NewLedger("new")
	check.Equal(len(ns.ledgers[0].Fresh(ns.now.Add(time.Minute)).Crashes), 0)
	joined.Merge(ns.ledgers[0].Full(ns.now), ns.now)
	check.Equal(contentsOf(joined.Holds(ns.now.Add(time.Second))), contentsOf(ns.ledgers[0].Holds(ns.now.Add(time.Second))))
}

// TestHoldOutlivesARestartOfAllNodes checks that the crashes which nodes have on record are
// enough to hold back the same requests, and that those cleared since are not on record.
func TestHoldOutlivesARestartOfAllNodes(t *testing.T) {
	check := is.New(t)
	ns := newNodes(4)
	for node := range 3 {
		ns.crash(node, culprit, bystander)
		ns.wait(time.Second)
		ns.finish(3, bystander)
	}
	check.Equal(ns.held(t), []types.ContentHash{culprit})
	restarted := newNodes(4)
	restarted.now = ns.now.Add(5 * time.Second)
	for node, ledger := range ns.ledgers {
		restarted.ledgers[node].Restore(ledger.Stored(ns.now), restarted.now)
		restarted.spread(node)
	}
	check.Equal(restarted.held(t), []types.ContentHash{culprit})
	restarted.finish(3, culprit)
	check.Equal(restarted.held(t), nil)
	for _, ledger := range restarted.ledgers {
		check.Equal(len(ledger.Stored(restarted.now)), 0)
	}
}

// TestLedgersAgreeAfterAnyOrderOfReports checks that the verdicts depend on the evidence
// only, not on the order in which a node learns of it.
func TestLedgersAgreeAfterAnyOrderOfReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		source := newNodes(4)
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			node := rapid.IntRange(0, 3).Draw(rt, "node")
			content := types.ContentHash(rapid.IntRange(1, 4).Draw(rt, "content"))
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				source.finish(node, content)
			case 1:
				source.crash(node, content, types.ContentHash(rapid.IntRange(1, 4).Draw(rt, "second")))
			default:
				source.crash(node, content)
			}
			source.wait(time.Duration(rapid.IntRange(0, 900).Draw(rt, "wait")) * time.Millisecond)
		}
		source.wait(time.Second)
		report := source.ledgers[0].Full(source.now)
		shuffled := blame.NewLedger("other")
		for _, index := range rapid.Permutation(indexes(len(report.Crashes))).Draw(rt, "crashes") {
			shuffled.Merge(blame.Report{Crashes: report.Crashes[index : index+1]}, source.now)
		}
		for _, index := range rapid.Permutation(indexes(len(report.Clears))).Draw(rt, "clears") {
			shuffled.Merge(blame.Report{Clears: report.Clears[index : index+1]}, source.now)
		}
		if shuffled.Hash() != source.ledgers[0].Hash() {
			rt.Fatalf("the hashes of the same evidence differ")
		}
		later := source.now.Add(time.Second)
		if held, want := contentsOf(shuffled.Holds(later)), contentsOf(source.ledgers[0].Holds(later)); !slices.Equal(held, want) {
			rt.Fatalf("held back are %v, want %v", held, want)
		}
	})
}

func indexes(count int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	return all
}

func TestEvidenceIsBounded(t *testing.T) {
	check := is.New(t)
	ledger := blame.NewLedger("i0")
	now := start
	for number := range 200 {
		var runs []blame.Run
		for run := range 100 {
			runs = append(runs, blame.Run{Content: types.ContentHash(number*100 + run + 1), Elapsed: time.Duration(run) * time.Millisecond})
		}
		ledger.RecordCrash(runs, now, now)
		now = now.Add(time.Millisecond)
	}
	report := ledger.Full(now)
	check.Equal(len(report.Crashes), blame.MaxReported)
	check.Equal(len(report.Crashes[0].Runs), blame.MaxRuns)
}
