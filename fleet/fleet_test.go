package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

// randomAction applies one random fault or change to a mesh, then lets some time
// pass.
func randomAction(t *rapid.T, ms *mesh, version *types.Version) {
	nd := ms.nodes[rapid.IntRange(0, len(ms.nodes)-1).Draw(t, "node")]
	switch act := rapid.SampledFrom([]string{"kill", "start", "pause", "resume", "upstream", "version", "detach", "wait"}).Draw(t, "act"); act {
	case "kill":
		if len(ms.live()) > 1 {
			nd.up = false
		}
	case "start":
		if !nd.up {
			ms.start(nd.number)
		}
	case "pause":
		nd.paused = nd.up && len(ms.live()) > 1
	case "resume":
		if nd.paused {
			nd.paused = false
			nd.table.Rejoin(ms.now)
		}
	default:
		if nd.up && !nd.paused {
			randomChange(t, ms, nd, act, version)
		}
	}
	ms.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * tick)
}

// randomChange applies a change of the given kind to a running node.
func randomChange(t *rapid.T, ms *mesh, nd *meshNode, act string, version *types.Version) {
	switch act {
	case "upstream":
		leaving := rapid.Bool().Draw(t, "leaving")
		nd.table.SetUpstream("status", types.Some(fleet.Upstream{Slots: 10, Leaving: leaving}))
	case "version":
		if nd.held >= nd.table.Self().HeldVersion {
			*version++
			ms.hold(nd, *version)
		}
	case "detach":
		ms.execute(nd, nd.table.SetDetached(rapid.Bool().Draw(t, "detached")))
	}
}

func TestViewsConvergeAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := newMesh(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "size"))
		ms.lossPercent = rapid.IntRange(0, 40).Draw(t, "lost")
		ms.duplicatePercent = rapid.IntRange(0, 30).Draw(t, "doubled")
		ms.delayPercent = rapid.IntRange(0, 30).Draw(t, "late")
		version := types.Version(0)
		for range rapid.IntRange(0, 20).Draw(t, "acts") {
			randomAction(t, ms, &version)
			if problem := ms.findRegression(); problem != "" {
				t.Fatal(problem)
			}
		}
		ms.lossPercent, ms.delayPercent = 0, 0
		for _, nd := range ms.nodes {
			if nd.paused {
				nd.paused = false
				nd.table.Rejoin(ms.now)
			}
		}
		ms.advance(time.Minute)
		if problem := ms.findDisagreement(); problem != "" {
			t.Fatal(problem)
		}
		if problem := ms.findRegression(); problem != "" {
			t.Fatal(problem)
		}
		if problem := ms.findMissingDelegate(); problem != "" {
			t.Fatal(problem)
		}
		for _, nd := range ms.live() {
			if nd.held != version && ms.anyHolds(version) {
				t.Fatalf("n%d holds version %d of %d", nd.number, nd.held, version)
			}
		}
	})
}

func (ms *mesh) anyHolds(version types.Version) bool {
	for _, nd := range ms.live() {
		if nd.held == version {
			return true
		}
	}
	return false
}

func TestPartitionHealsToOneView(t *testing.T) {
	for seed := range uint64(6) {
		for _, length := range []time.Duration{8 * time.Second, 13 * time.Second, time.Hour} {
			checkPartition(is.New(t), newMesh(seed, 6), length)
		}
	}
}

func checkPartition(is *is.I, ms *mesh, length time.Duration) {
	is.Helper()
	ms.advance(20 * time.Second)
	is.Equal(ms.findDisagreement(), "")
	ms.partitioned = func(from, to int) bool { return from < 3 != (to < 3) }
	ms.hold(ms.nodes[0], 4)
	ms.hold(ms.nodes[5], 7)
	ms.advance(length)
	is.Equal(ms.nodes[1].held, types.Version(4))
	if length == time.Hour {
		is.Equal(ms.nodes[1].table.LiveCount(), 2) // each side declared the other side's nodes dead
	}
	ms.partitioned = func(int, int) bool { return false }
	healed := len(ms.events)
	ms.advance(30 * time.Second)
	is.Equal(ms.findDisagreement(), "")
	for _, nd := range ms.nodes {
		is.Equal(nd.held, types.Version(7))
	}
	is.Equal(ms.findRegression(), "")
	for _, line := range ms.events[healed:] {
		var by, of, status string
		_, err := fmt.Sscanf(strings.Fields(line)[1]+" "+strings.Fields(line)[2]+" "+strings.Fields(line)[4], "n%1s: n%1s %s", &by, &of, &status)
		is.NoErr(err)
		is.True(status != "dead" || by < "3" != (of < "3")) // after the partition heals, no node declares a node of its own side dead
	}
}

// withdrawalTime calls withdraw to take node 0 out of service. It returns the
// time from then until no running node lists node 0 as accepting work, at most
// one minute.
func withdrawalTime(ms *mesh, withdraw func(nd *meshNode)) time.Duration {
	for _, nd := range ms.nodes {
		nd.table.SetUpstream("status", types.Some(fleet.Upstream{Slots: 10}))
	}
	ms.advance(20 * time.Second)
	leaving, began := ms.nodes[0], ms.now
	withdraw(leaving)
	for ms.now.Sub(began) < time.Minute {
		left := true
		for _, nd := range ms.live() {
			serving := nd.table.ServiceOwners("status")
			left = left && !slices.ContainsFunc(serving, func(member fleet.Member) bool { return member.ID == meshID(0) })
		}
		if left {
			break
		}
		ms.advance(tick)
	}
	return ms.now.Sub(began)
}

func TestWithdrawalsSpreadWithinSeconds(t *testing.T) {
	leave := func(nd *meshNode) {
		nd.table.SetUpstream("status", types.Some(fleet.Upstream{Slots: 10, Leaving: true}))
	}
	cases := []struct {
		name        string
		lossPercent int
		withdraw    func(*meshNode)
		limit       time.Duration
	}{
		{"leaving", 0, leave, 1200 * time.Millisecond},
		{"leaving, a third of the messages lost", 33, leave, 3 * time.Second},
		{"node stops", 0, func(nd *meshNode) { nd.table.AnnounceLeaving() }, 1200 * time.Millisecond},
		{"killed", 0, func(nd *meshNode) { nd.up = false }, 4 * time.Second},
		{"killed, a third of the messages lost", 33, func(nd *meshNode) { nd.up = false }, 6 * time.Second},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			worst := time.Duration(0)
			for seed := range uint64(15) {
				ms := newMesh(seed, 16)
				ms.lossPercent = tt.lossPercent
				worst = max(worst, withdrawalTime(ms, tt.withdraw))
			}
			t.Logf("the slowest of 15 took %s", worst)
			is.True(worst <= tt.limit)
		})
	}
}

// TestSeriesOfVersionsDoesNotPutOffPull checks that a node whose own watch delivers
// nothing pulls a version within the pull delay of the first report, although peers
// report newer versions all the while.
func TestSeriesOfVersionsDoesNotPutOffPull(t *testing.T) {
	check := is.New(t)
	const delay = 250 * time.Millisecond
	table := fleet.NewTable(fleet.Member{ID: "self", StartedAt: epoch}, rand.New(rand.NewPCG(1, 1)), fleet.WithPullDelay(delay))
	peer := fleet.Member{ID: "peer", Address: "peer:1", Status: fleet.Alive, StartedAt: epoch, Incarnation: 1}
	pulledAt := time.Duration(0)
	for since := time.Duration(0); since < 4*delay && pulledAt == 0; since += delay / 5 {
		version := types.Version(1 + since/time.Millisecond)
		message := fleet.Message{From: "peer", Incarnation: 1, Version: version, Members: []fleet.Member{peer}}
		for _, effect := range table.HandleExchangeReceived(fleet.ExchangeReceived{Message: message}, epoch.Add(since)) {
			if _, ok := effect.(fleet.PullConfig); ok {
				pulledAt = since
			}
		}
	}
	check.True(pulledAt > 0 && pulledAt <= delay+delay/5)
}

// TestSilentPeerDoesNotHoldUpVersion guards against a node that waits for one peer while
// others hold the version.
func TestSilentPeerDoesNotHoldUpVersion(t *testing.T) {
	check := is.New(t)
	const applyTime = 2 * time.Second
	for seed := range uint64(20) {
		table := fleet.NewTable(fleet.Member{ID: "self", StartedAt: epoch}, rand.New(rand.NewPCG(seed, 1)), fleet.WithPullDelay(250*time.Millisecond))
		for _, id := range []types.InstanceID{"b", "c", "d"} {
			peer := fleet.Member{ID: id, Address: types.Address(id + ":1"), Status: fleet.Alive, StartedAt: epoch, Incarnation: 1}
			message := fleet.Message{From: id, Incarnation: 1, Version: 9, Members: []fleet.Member{peer}}
			table.HandleExchangeReceived(fleet.ExchangeReceived{Message: message}, epoch)
		}
		var asked types.Set[types.InstanceID]
		for since := time.Duration(0); since < applyTime; since += tick {
			for _, effect := range table.Tick(epoch.Add(since)) {
				if pull, ok := effect.(fleet.PullConfig); ok {
					asked = asked.With(pull.Peer)
				}
			}
		}
		check.Equal(asked.Sorted(), []types.InstanceID{"b", "c", "d"})
	}
}

// TestReportedVersionIsPulled guards against a node that hears only from others which
// member holds a version, and waits until that member sends it a message.
func TestReportedVersionIsPulled(t *testing.T) {
	peer := func(id types.InstanceID, held types.Version) fleet.Member {
		return fleet.Member{ID: id, Address: types.Address(id + ":1"), Status: fleet.Alive, StartedAt: epoch, Incarnation: 1, HeldVersion: held}
	}
	for name, news := range map[string]fleet.Message{
		"report": {Members: []fleet.Member{peer("b", 1)}, Reports: []fleet.VersionReport{{ID: "c", HeldVersion: 9}}},
		"record": {Members: []fleet.Member{peer("b", 1), peer("c", 9)}},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			table := fleet.NewTable(fleet.Member{ID: "self", StartedAt: epoch}, rand.New(rand.NewPCG(1, 1)), fleet.WithPullDelay(250*time.Millisecond))
			known := fleet.Message{From: "b", Incarnation: 1, Members: []fleet.Member{peer("b", 1), peer("c", 1)}}
			table.HandleExchangeReceived(fleet.ExchangeReceived{Message: known}, epoch)
			news.From, news.Incarnation = "b", 1
			table.HandleExchangeReceived(fleet.ExchangeReceived{Message: news}, epoch)
			var asked []types.InstanceID
			for since := time.Duration(0); since < time.Second && len(asked) == 0; since += tick {
				for _, effect := range table.Tick(epoch.Add(since)) {
					if pull, ok := effect.(fleet.PullConfig); ok && pull.Version == 9 {
						asked = append(asked, pull.Peer)
					}
				}
			}
			check.Equal(asked, []types.InstanceID{"c"})
		})
	}
}
