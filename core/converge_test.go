package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
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
	// reads is the number of reads of the store.
	reads int
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
	// watchLost is true if the store no longer answers the node's watch.
	watchLost bool
	// up is false while the node is dead or paused.
	up        bool
	disturbed bool
	// store is how the store answers the node.
	store   storeAnswers
	replies map[uint64]func(fleet.Message)
}

// storeAnswers is how the store answers a node.
type storeAnswers int

const (
	storePrompt storeAnswers = iota
	storeSilent
	storeRefuses
	storeSlow
)

// slowTime is how long a slow store takes to answer.
const slowTime = 450 * time.Millisecond

func newVersionMesh(seed uint64) *versionMesh { return newVersionMeshOf(seed, 12, 3) }

// newVersionMeshOf returns a mesh of the given size.
func newVersionMeshOf(seed uint64, nodes, zones int) *versionMesh {
	ms := &versionMesh{now: epoch, stored: 1}
	for number := range nodes {
		zone := types.Zone([]string{"kolkata", "howrah", "haldia"}[number%zones])
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
	nd.up, nd.replies, nd.watch, nd.watchLost = true, map[uint64]func(fleet.Message){}, core.WatchPlatform{}, false
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
			ms.read(nd, ef.Reading, func(err *fault.Error) { ms.step(nd, core.RootPolled{Err: err}) })
		case core.HedgeRoot:
			ms.hedge(nd, ef)
		case core.WatchPlatform:
			ms.watch(nd, ef)
		}
	}
}

// read reads the store for a node, offers it the version and reports how the read ended. A
// store that is silent reports nothing.
func (ms *versionMesh) read(nd *versionNode, reading conf.Reading, ended func(*fault.Error)) {
	ms.reads++
	wait := callTime
	if nd.store == storeSlow {
		wait = slowTime
	}
	version := ms.stored
	ms.after(nd, wait, func() {
		switch nd.store {
		case storeSilent:
		case storeRefuses:
			ended(fault.New(fault.PlatformUnavailable, "503"))
		default:
			ms.offerRead(nd, version, reading)
			ended(nil)
		}
	})
}

// hedge lets a peer read the store for a node. A peer that is down reports nothing.
func (ms *versionMesh) hedge(nd *versionNode, ef core.HedgeRoot) {
	peer := ms.nodeAt(ef.Address)
	ms.after(peer, callTime, func() {
		ms.read(peer, conf.ReadInPlace, func(err *fault.Error) {
			ms.after(nd, callTime, func() { ms.step(nd, core.RootHedged{Peer: ef.Peer, Err: err}) })
		})
	})
}

// watch changes a node's watch. A watch of current data begins with the stored version.
func (ms *versionMesh) watch(nd *versionNode, wanted core.WatchPlatform) {
	nd.watch, nd.watchLost = wanted, nd.store != storePrompt
	if wanted.On && !wanted.Cached && !nd.watchLost {
		ms.after(nd, 2*callTime, func() { ms.watched(nd, ms.stored) })
	}
}

// watched tells a node's watch of a version.
func (ms *versionMesh) watched(nd *versionNode, version types.Version) {
	if nd.store == storePrompt && !nd.watchLost {
		ms.offerRead(nd, version, conf.ReadByWatch)
	}
}

// setStore changes how the store answers a node. One that is silent or refuses answers no
// watch that it then has, also later.
func (ms *versionMesh) setStore(nd *versionNode, answers storeAnswers) {
	nd.store, nd.disturbed = answers, true
	nd.watchLost = nd.watchLost || answers != storePrompt
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

// offer offers a version that a peer sent, or that was read as the node joined.
func (ms *versionMesh) offer(nd *versionNode, version types.Version, peer types.InstanceID) {
	ms.offerFrom(nd, version, conf.VersionOffered{FromPlatform: peer == "", Peer: peer, Reading: conf.ReadAtJoin})
}

// offerRead offers a version that was read from the store.
func (ms *versionMesh) offerRead(nd *versionNode, version types.Version, reading conf.Reading) {
	ms.offerFrom(nd, version, conf.VersionOffered{FromPlatform: true, Reading: reading})
}

func (ms *versionMesh) offerFrom(nd *versionNode, version types.Version, offer conf.VersionOffered) {
	snap, err := conf.NewSnapshot(conf.Root{Version: version}, types.Hash(fmt.Sprint(version)), conf.Config{}, conf.Bundle{})
	if err != nil {
		panic(err)
	}
	offer.Snapshot = snap
	ms.step(nd, offer)
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
			ms.after(nd, wait, func() { ms.watched(nd, version) })
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

// readersOf returns the nodes whose watches are not late, those that read the store for
// the others.
func (ms *versionMesh) readersOf() []*versionNode {
	var readers []*versionNode
	for _, nd := range ms.nodes {
		if nd.watch.On && !nd.watch.Cached && !nd.disturbed {
			readers = append(readers, nd)
		}
	}
	return readers
}

// disturbShare lets the store answer the readers otherwise, and some more nodes of each
// zone, so that the given share of the nodes is disturbed.
func (ms *versionMesh) disturbShare(share float64, answers storeAnswers) {
	disturbed := ms.readersOf()
	for _, nd := range ms.nodes {
		if !slices.Contains(disturbed, nd) && float64(len(disturbed)+1) <= share*float64(len(ms.nodes)) {
			disturbed = append(disturbed, nd)
		}
	}
	for _, nd := range disturbed {
		ms.setStore(nd, answers)
	}
}

// TestVersionArrivesWhileWatchesAreSilent guards against versions that only delegates read, and
// for which all others wait for their watches.
func TestVersionArrivesWhileWatchesAreSilent(t *testing.T) {
	sizes := []struct{ nodes, zones int }{{6, 1}, {12, 3}, {30, 1}}
	const phases = 12
	for _, size := range sizes {
		for phase := range phases {
			ms := newVersionMeshOf(uint64(phase), size.nodes, size.zones)
			ms.advance(time.Duration(phase) * tickTime)
			for _, nd := range ms.nodes {
				nd.watchLost = true
			}
			ms.write()
			ms.advance(applyTime)
			if late := ms.late(); len(late) > 0 {
				t.Errorf("%d nodes, %d zones, phase %d: the version is late on %v", size.nodes, size.zones, phase, late)
			}
		}
	}
}

// TestVersionArrivesWhileAllReadersAreSilent guards against versions that no node reads until
// peers hold the readers to be dead: all nodes whose watches are not late lose power at once.
func TestVersionArrivesWhileAllReadersAreSilent(t *testing.T) {
	sizes := []struct{ nodes, zones int }{{6, 1}, {12, 1}, {12, 3}, {18, 3}, {30, 1}}
	const phases = 12
	for _, size := range sizes {
		for phase := range phases {
			ms := newVersionMeshOf(uint64(phase), size.nodes, size.zones)
			ms.advance(time.Duration(phase) * tickTime)
			for _, nd := range ms.readersOf() {
				nd.up, nd.disturbed = false, true
			}
			ms.advance(4 * callTime)
			ms.write()
			ms.advance(applyTime)
			if late := ms.late(); len(late) > 0 {
				t.Errorf("%d nodes, %d zones, phase %d: the version is late on %v", size.nodes, size.zones, phase, late)
			}
		}
	}
}

// TestVersionArrivesWhileReadersAreCutOff guards against versions that are late on nodes
// which reach the store, as those that read it for them reach their peers and not the store.
func TestVersionArrivesWhileReadersAreCutOff(t *testing.T) {
	plays := []struct {
		name    string
		answers storeAnswers
		again   bool
	}{
		{name: "silent", answers: storeSilent},
		{name: "refused", answers: storeRefuses},
		{name: "slow", answers: storeSlow},
		{name: "cut twice", answers: storeSilent, again: true},
	}
	sizes := []struct{ nodes, zones int }{{6, 1}, {12, 1}, {12, 3}, {18, 3}, {30, 1}}
	const phases, cutShare = 12, 0.35
	for _, play := range plays {
		for _, size := range sizes {
			t.Run(fmt.Sprint(play.name, " ", size.nodes, " nodes, ", size.zones, " zones"), func(t *testing.T) {
				for phase := range phases {
					ms := newVersionMeshOf(uint64(phase), size.nodes, size.zones)
					ms.advance(time.Duration(phase) * tickTime)
					ms.disturbShare(cutShare, play.answers)
					if play.again {
						ms.advance(time.Second + time.Duration(phase)*tickTime)
						ms.disturbShare(0, play.answers)
					}
					ms.advance(4 * callTime)
					ms.write()
					ms.advance(applyTime)
					if late := ms.late(); len(late) > 0 {
						t.Errorf("phase %d: the version is late on %v", phase, late)
					}
				}
			})
		}
	}
}
