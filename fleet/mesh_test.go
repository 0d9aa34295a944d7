package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

const (
	tick        = 100 * time.Millisecond
	callTimeout = 500 * time.Millisecond
)

// mesh simulates a network of a few tables. It loses, duplicates and reorders
// their messages.
type mesh struct {
	now      time.Time
	rand     *rand.Rand
	nodes    []*meshNode
	inFlight []delivery
	// lossPercent, duplicatePercent and delayPercent are the chances, in percent,
	// that a message is lost, duplicated or delayed by up to three seconds.
	lossPercent, duplicatePercent, delayPercent int
	// partitioned reports whether the network drops all messages from one node
	// to another.
	partitioned func(from, to int) bool
	// token is the number of the latest request.
	token uint64
	// exchanges, membersSent and reportsSent count what all nodes sent.
	exchanges   int
	membersSent int
	reportsSent int
	events      []string
}

type meshNode struct {
	number  int
	table   *fleet.Table
	up      bool
	paused  bool
	address types.Address
	// pendingReplies has a callback for each request not yet answered, by token.
	pendingReplies map[uint64]func(fleet.Message)
	// lastSeen has the records in the node's view, and lastHeld the version
	// that the node held, at the latest check of findRegression. A later check
	// fails if a record or the version has been replaced by an older one.
	lastSeen map[types.InstanceID]fleet.Member
	lastHeld types.Version
	held     types.Version
}

type delivery struct {
	at      time.Time
	deliver func()
}

func newMesh(seed uint64, size int) *mesh {
	ms := &mesh{now: epoch, rand: rand.New(rand.NewPCG(seed, 1)), partitioned: func(int, int) bool { return false }}
	for number := range size {
		ms.nodes = append(ms.nodes, &meshNode{number: number})
		ms.start(number)
	}
	return ms
}

func meshID(number int) types.InstanceID { return types.InstanceID(fmt.Sprintf("n%d", number)) }

// start starts a new process of an instance, with the addresses of all other
// nodes as seeds.
func (ms *mesh) start(number int) {
	nd := ms.nodes[number]
	nd.address = types.Address(fmt.Sprintf("10.0.0.%d:%d", number, ms.now.Sub(epoch).Milliseconds()))
	self := fleet.Member{
		ID:          meshID(number),
		Incarnation: uint64(ms.now.UnixMilli()),
		Address:     nd.address,
		Zone:        types.Zone([]string{"kolkata", "howrah"}[number%2]),
		StartedAt:   ms.now,
	}
	nd.table = fleet.NewTable(self, rand.New(rand.NewPCG(ms.rand.Uint64(), 2)))
	nd.up, nd.paused = true, false
	nd.pendingReplies = map[uint64]func(fleet.Message){}
	nd.lastSeen, nd.lastHeld, nd.held = map[types.InstanceID]fleet.Member{}, 0, 0
	ms.addSeeds(nd)
}

func (ms *mesh) addSeeds(nd *meshNode) {
	var seeds []types.Address
	for _, other := range ms.nodes {
		if other != nd && other.address != "" {
			seeds = append(seeds, other.address)
		}
	}
	nd.table.AddSeeds(fleet.SeedsFound{Addresses: seeds})
}

// advance moves the simulated time forward, one tick at a time.
func (ms *mesh) advance(limit time.Duration) {
	for end := ms.now.Add(limit); ms.now.Before(end); {
		ms.now = ms.now.Add(tick)
		ms.deliver()
		for _, nd := range ms.nodes {
			if nd.up && !nd.paused {
				ms.execute(nd, nd.table.Tick(ms.now))
			}
		}
	}
}

func (ms *mesh) deliver() {
	var due []delivery
	ms.inFlight = slices.DeleteFunc(ms.inFlight, func(dv delivery) bool {
		if dv.at.After(ms.now) {
			return false
		}
		due = append(due, dv)
		return true
	})
	for _, dv := range due {
		dv.deliver()
	}
}

func (ms *mesh) schedule(wait time.Duration, deliver func()) {
	ms.inFlight = append(ms.inFlight, delivery{at: ms.now.Add(wait), deliver: deliver})
}

func (ms *mesh) delay() time.Duration {
	if ms.rand.IntN(100) < ms.delayPercent {
		return time.Duration(ms.rand.IntN(4)) * time.Second
	}
	return time.Duration(ms.rand.IntN(50)) * time.Millisecond
}

// passes reports whether the network delivers a message from one node to
// another. Losses are random.
func (ms *mesh) passes(from, to *meshNode) bool {
	return to != nil && from.up && to.up && !to.paused && !ms.partitioned(from.number, to.number) && ms.rand.IntN(100) >= ms.lossPercent
}

func (ms *mesh) nodeAt(address types.Address) *meshNode {
	for _, nd := range ms.nodes {
		if nd.address == address {
			return nd
		}
	}
	return nil
}

func (ms *mesh) execute(nd *meshNode, effects []types.Effect) {
	for _, effect := range effects {
		switch ef := effect.(type) {
		case fleet.SendExchange:
			ms.exchange(nd, ef)
		case fleet.ReplyExchange:
			ms.membersSent += len(ef.Message.Members)
			ms.reportsSent += len(ef.Message.Reports)
			nd.pendingReplies[ef.Token](ef.Message)
			delete(nd.pendingReplies, ef.Token)
		case fleet.SendIndirectProbe:
			ms.probe(nd, ef)
		case fleet.PullConfig:
			ms.pull(nd, ef)
		case fleet.StatusChanged:
			ms.logf("%s: %s is %s", nd.table.Self().ID, ef.Member.ID, ef.Member.Status)
		case fleet.Superseded:
			ms.logf("%s at %s is superseded by %s", nd.table.Self().ID, nd.address, ef.By.Address)
			nd.up = false
		case fleet.Duplicated:
			ms.logf("%s: %s still runs at %s", nd.table.Self().ID, ef.Older.ID, ef.Older.Address)
		}
	}
}

func (ms *mesh) logf(format string, args ...any) {
	ms.events = append(ms.events, fmt.Sprintf("%6.1fs ", ms.now.Sub(epoch).Seconds())+fmt.Sprintf(format, args...))
}

func (ms *mesh) exchange(nd *meshNode, ef fleet.SendExchange) {
	ms.exchanges++
	ms.membersSent += len(ef.Message.Members)
	ms.reportsSent += len(ef.Message.Reports)
	table, to := nd.table, ms.nodeAt(ef.Address)
	failed := func() {
		if nd.table == table && nd.up {
			ms.execute(nd, table.HandleExchangeFailed(fleet.ExchangeFailed{Peer: ef.Peer, Address: ef.Address}, ms.now))
		}
	}
	if !ms.passes(nd, to) {
		ms.schedule(callTimeout, failed)
		return
	}
	copies := 1
	if ms.rand.IntN(100) < ms.duplicatePercent {
		copies++
	}
	for range copies {
		ms.schedule(ms.delay(), func() { ms.receive(nd, table, to, ef) })
	}
}

func (ms *mesh) receive(nd *meshNode, table *fleet.Table, to *meshNode, ef fleet.SendExchange) {
	if !to.up || to.paused || to.address != ef.Address {
		return
	}
	ms.token++
	to.pendingReplies[ms.token] = func(answer fleet.Message) {
		if !ms.passes(to, nd) {
			return
		}
		ms.schedule(ms.delay(), func() {
			if nd.table == table && nd.up && !nd.paused {
				event := fleet.ExchangeAnswered{Peer: ef.Peer, Address: ef.Address, Epoch: ef.Epoch, Message: answer}
				ms.execute(nd, table.HandleExchangeAnswered(event, ms.now))
			}
		})
	}
	ms.execute(to, to.table.HandleExchangeReceived(fleet.ExchangeReceived{Token: ms.token, Message: ef.Message}, ms.now))
}

func (ms *mesh) probe(nd *meshNode, ef fleet.SendIndirectProbe) {
	table, via, to := nd.table, ms.nodeAt(ef.ViaAddress), ms.nodeAt(ef.Address)
	reached := ms.passes(nd, via) && ms.passes(via, to)
	ms.schedule(ms.delay(), func() {
		if nd.table == table && nd.up {
			ms.execute(nd, table.HandleIndirectProbeEnded(fleet.IndirectProbeEnded{Peer: ef.Peer, Via: ef.Via, Reached: reached}, ms.now))
		}
	})
}

func (ms *mesh) pull(nd *meshNode, ef fleet.PullConfig) {
	table, to := nd.table, ms.nodeAt(ef.Address)
	ms.schedule(ms.delay(), func() {
		if nd.table != table || !nd.up {
			return
		}
		if ms.passes(nd, to) && to.held > nd.held {
			ms.hold(nd, to.held)
		}
		ms.execute(nd, table.HandlePullEnded(fleet.PullEnded{Peer: ef.Peer, Version: ef.Version}, ms.now))
	})
}

func (ms *mesh) hold(nd *meshNode, version types.Version) {
	nd.held = version
	nd.table.SetVersion(version, types.Hash(fmt.Sprint(version)), false, ms.now)
}

// live returns the nodes that are running and not paused.
func (ms *mesh) live() []*meshNode {
	var live []*meshNode
	for _, nd := range ms.nodes {
		if nd.up && !nd.paused {
			live = append(live, nd)
		}
	}
	return live
}

// findDisagreement describes the first way in which the views of the running
// nodes differ from each other or from the nodes' real state. It returns "" if
// they are equal and correct.
func (ms *mesh) findDisagreement() string {
	live := ms.live()
	for _, nd := range live {
		for _, other := range live {
			member, _ := nd.table.Member(other.table.Self().ID)
			if member.Status != fleet.Alive || member.Address != other.address || member.HeldVersion < other.held ||
				member.Detached != other.table.Self().Detached {
				return fmt.Sprintf("n%d sees n%d as %+v\n%s", nd.number, other.number, member, strings.Join(ms.events, "\n"))
			}
		}
		if nd.table.ViewHash() != live[0].table.ViewHash() {
			return fmt.Sprintf("the views of n%d and n%d differ\n%s", nd.number, live[0].number, strings.Join(ms.events, "\n"))
		}
	}
	return ""
}

// findRegression describes a record or held version that has been replaced by
// an older one since the latest check. It returns "" if there is none.
func (ms *mesh) findRegression() string {
	for _, nd := range ms.live() {
		for _, member := range nd.table.Members() {
			old := nd.lastSeen[member.ID]
			older := member.StartedAt.Before(old.StartedAt) || member.StartedAt.Equal(old.StartedAt) && member.Incarnation < old.Incarnation
			if older || member.HeldVersion < old.HeldVersion {
				return fmt.Sprintf("n%d: %s went from %+v to %+v", nd.number, member.ID, old, member)
			}
			nd.lastSeen[member.ID] = member
		}
		if nd.held < nd.lastHeld {
			return fmt.Sprintf("n%d: the version went back", nd.number)
		}
		nd.lastHeld = nd.held
	}
	return ""
}
