package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

const (
	tickTime     = 100 * time.Millisecond
	callTime     = 5 * time.Millisecond
	pullTime     = 30 * time.Millisecond
	exchangeTime = 500 * time.Millisecond
	// staleTime is how old cached data of the store is.
	staleTime = 4 * time.Second
	// applyTime is the users' time within which a version is in force.
	applyTime = 2 * time.Second
)

// versionMesh is a fleet of nodes that get versions from a store and from each other.
type versionMesh struct {
	now    time.Time
	nodes  []*versionNode
	due    []dueStep
	stored types.Version
}

type dueStep struct {
	at   time.Time
	node *versionNode
	run  func()
}

type versionNode struct {
	id    string
	zone  types.Zone
	seed  uint64
	state *core.State
	// watch is the latest effect on the node's watch.
	watch core.WatchPlatform
	// up is false while the node is dead or paused.
	up        bool
	disturbed bool
	replies   map[uint64]func(fleet.Message)
}

func newVersionMesh(seed uint64) *versionMesh {
	ms := &versionMesh{now: epoch, stored: 1}
	for number := range 12 {
		zone := types.Zone([]string{"kolkata", "howrah", "haldia"}[number%3])
		ms.nodes = append(ms.nodes, &versionNode{id: fmt.Sprint("n", number), zone: zone, seed: 100*seed + uint64(number)})
	}
	for _, nd := range ms.nodes {
		ms.start(nd)
	}
	ms.advance(20 * time.Second)
	return ms
}

func (ms *versionMesh) start(nd *versionNode) {
	self := memberOf(nd.id, ms.now)
	self.Zone = nd.zone
	policies := core.DefaultPolicies()
	policies.Spread = core.SpreadWatch
	nd.seed += 1000
	nd.state = core.New(self, core.WithSeed(nd.seed), core.WithPolicies(policies), core.WithPolling(time.Second),
		core.WithFleet(fleet.WithDelegates(1), fleet.WithPullDelay(250*time.Millisecond)))
	nd.up, nd.replies, nd.watch = true, map[uint64]func(fleet.Message){}, core.WatchPlatform{}
	var seeds []types.Address
	for _, other := range ms.nodes {
		if other != nd {
			seeds = append(seeds, types.Address(other.id+":1"))
		}
	}
	ms.step(nd, fleet.SeedsFound{Addresses: seeds})
	ms.after(nd, 250*time.Millisecond, func() {
		ms.offer(nd, ms.stored, "")
		ms.step(nd, core.RootRead{Epoch: nd.state.Fleet().Epoch(), Version: ms.stored})
	})
}

// after runs a step of a node, unless the node's process is another one by then.
func (ms *versionMesh) after(nd *versionNode, wait time.Duration, run func()) {
	state := nd.state
	ms.due = append(ms.due, dueStep{at: ms.now.Add(wait), node: nd, run: func() {
		if nd.state == state && nd.up {
			run()
		}
	}})
}

func (ms *versionMesh) advance(limit time.Duration) {
	for end := ms.now.Add(limit); ms.now.Before(end); {
		ms.now = ms.now.Add(callTime)
		for _, step := range ms.takeDue() {
			step.run()
		}
		if ms.now.Sub(epoch)%tickTime != 0 {
			continue
		}
		for _, nd := range ms.nodes {
			if nd.up {
				ms.step(nd, core.Tick{})
			}
		}
	}
}

func (ms *versionMesh) takeDue() []dueStep {
	var taken []dueStep
	ms.due = slices.DeleteFunc(ms.due, func(step dueStep) bool {
		if step.at.After(ms.now) {
			return false
		}
		taken = append(taken, step)
		return true
	})
	return taken
}

func (ms *versionMesh) step(nd *versionNode, event types.Event) {
	for _, effect := range nd.state.Step(event, ms.now) {
		switch ef := effect.(type) {
		case fleet.SendExchange:
			ms.exchange(nd, ef)
		case fleet.ReplyExchange:
			if reply := nd.replies[ef.Token]; reply != nil {
				reply(ef.Message)
			}
		case fleet.SendIndirectProbe:
			reached := ms.nodeAt(ef.ViaAddress).up && ms.nodeAt(ef.Address).up
			ms.after(nd, exchangeTime, func() {
				ms.step(nd, fleet.IndirectProbeEnded{Peer: ef.Peer, Via: ef.Via, Reached: reached})
			})
		case fleet.PullConfig:
			ms.pull(nd, ef)
		case core.PollRoot:
			version := ms.stored
			ms.after(nd, callTime, func() { ms.offer(nd, version, ""); ms.step(nd, core.RootPolled{}) })
		case core.WatchPlatform:
			nd.watch = ef
		}
	}
}

func (ms *versionMesh) nodeAt(address types.Address) *versionNode {
	i := slices.IndexFunc(ms.nodes, func(nd *versionNode) bool { return types.Address(nd.id+":1") == address })
	return ms.nodes[i]
}

func (ms *versionMesh) exchange(nd *versionNode, ef fleet.SendExchange) {
	to := ms.nodeAt(ef.Address)
	if !to.up {
		ms.after(nd, exchangeTime, func() { ms.step(nd, fleet.ExchangeFailed{Peer: ef.Peer, Address: ef.Address}) })
		return
	}
	ms.after(to, callTime, func() {
		token := uint64(len(to.replies) + 1)
		to.replies[token] = func(answer fleet.Message) {
			ms.after(nd, callTime, func() {
				ms.step(nd, fleet.ExchangeAnswered{Peer: ef.Peer, Address: ef.Address, Epoch: ef.Epoch, Message: answer})
			})
		}
		ms.step(to, fleet.ExchangeReceived{Token: token, Message: ef.Message})
	})
}

// pull fetches a version from a peer. One that is down sends nothing.
func (ms *versionMesh) pull(nd *versionNode, ef fleet.PullConfig) {
	from := ms.nodeAt(ef.Address)
	if !from.up {
		ms.after(nd, 5*time.Second, func() { ms.step(nd, fleet.PullEnded{Peer: ef.Peer, Version: ef.Version}) })
		return
	}
	version := from.version()
	ms.after(nd, pullTime, func() {
		ms.offer(nd, version, ef.Peer)
		ms.step(nd, fleet.PullEnded{Peer: ef.Peer, Version: ef.Version})
	})
}

func (nd *versionNode) version() types.Version { return nd.state.Config().Current().Version() }

func (ms *versionMesh) offer(nd *versionNode, version types.Version, peer types.InstanceID) {
	snap, err := conf.NewSnapshot(conf.Root{Version: version}, types.Hash(fmt.Sprint(version)), conf.Config{}, conf.Bundle{})
	if err != nil {
		panic(err)
	}
	ms.step(nd, conf.VersionOffered{Snapshot: snap, FromPlatform: peer == "", Peer: peer})
}

// write stores a new version and tells the watches.
func (ms *versionMesh) write() {
	ms.stored++
	version := ms.stored
	for _, nd := range ms.nodes {
		if nd.up && nd.watch.On {
			wait := callTime
			if nd.watch.Cached {
				wait = staleTime
			}
			ms.after(nd, wait, func() { ms.offer(nd, version, "") })
		}
	}
}

// late returns the undisturbed nodes that do not hold the stored version.
func (ms *versionMesh) late() []string {
	var late []string
	for _, nd := range ms.nodes {
		if !nd.disturbed && nd.version() < ms.stored {
			late = append(late, nd.id)
		}
	}
	return late
}

// disturb stops the nodes that read the store for their zones.
func (ms *versionMesh) disturb() []*versionNode {
	var readers []*versionNode
	for _, nd := range ms.nodes {
		if nd.state.Fleet().IsDelegate() {
			nd.up, nd.disturbed = false, true
			readers = append(readers, nd)
		}
	}
	return readers
}

// TestVersionArrivesWhileReadersRestart guards against versions that no node reads while
// the nodes that read for their zones start again.
func TestVersionArrivesWhileReadersRestart(t *testing.T) {
	for seed := range uint64(20) {
		ms := newVersionMesh(seed)
		readers := ms.disturb()
		ms.advance(300 * time.Millisecond)
		for _, nd := range readers {
			ms.start(nd)
		}
		ms.advance(700 * time.Millisecond)
		ms.write()
		ms.advance(applyTime)
		if late := ms.late(); len(readers) != 3 || len(late) > 0 {
			t.Errorf("seed %d: the version is late on %v after the restart of %d readers", seed, late, len(readers))
		}
	}
}

// TestVersionArrivesWhileReadersAreSilent guards against versions that no node reads until
// the loss of those that read for their zones is noticed.
func TestVersionArrivesWhileReadersAreSilent(t *testing.T) {
	for seed := range uint64(20) {
		ms := newVersionMesh(seed)
		readers := ms.disturb()
		ms.write()
		ms.advance(applyTime)
		if late := ms.late(); len(readers) != 3 || len(late) > 0 {
			t.Errorf("seed %d: the version is late on %v while %d readers are silent", seed, late, len(readers))
		}
	}
}
