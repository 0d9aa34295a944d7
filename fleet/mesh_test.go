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

// mesh passes messages between a few tables, and loses, doubles and reorders
// them.
type mesh struct {
	now     time.Time
	rand    *rand.Rand
	nodes   []*meshNode
	flights []flight
	// lost, doubled and late are chances of a message in a hundred.
	lost, doubled, late int
	// cut reports whether nothing passes between two nodes.
	cut     func(from, to int) bool
	token   uint64
	sent    int
	members int
	reports int
	log     []string
}

type meshNode struct {
	number  int
	table   *fleet.Table
	up      bool
	paused  bool
	address types.Address
	waiting map[uint64]func(fleet.Message)
	// floors are the least values that the node's view may show from now on.
	floors map[types.InstanceID]fleet.Member
	lowest types.Version
	held   types.Version
}

type flight struct {
	at      time.Time
	deliver func()
}

func newMesh(seed uint64, size int) *mesh {
	ms := &mesh{now: epoch, rand: rand.New(rand.NewPCG(seed, 1)), cut: func(int, int) bool { return false }}
	for number := range size {
		ms.nodes = append(ms.nodes, &meshNode{number: number})
		ms.start(number)
	}
	return ms
}

func meshID(number int) types.InstanceID { return types.InstanceID(fmt.Sprintf("n%d", number)) }

// start starts a process of an instance, which knows the addresses of all.
func (ms *mesh) start(number int) {
	nd := ms.nodes[number]
	nd.address = types.Address(fmt.Sprintf("10.0.0.%d:%d", number, ms.now.Sub(epoch).Milliseconds()))
	self := fleet.Member{
		ID:          meshID(number),
		Incarnation: uint64(ms.now.UnixMilli()),
		Address:     nd.address,
		Zone:        types.Zone([]string{"kolkata", "howrah"}[number%2]),
		Started:     ms.now,
	}
	nd.table = fleet.NewTable(self, rand.New(rand.NewPCG(ms.rand.Uint64(), 2)))
	nd.up, nd.paused = true, false
	nd.waiting = map[uint64]func(fleet.Message){}
	nd.floors, nd.lowest, nd.held = map[types.InstanceID]fleet.Member{}, 0, 0
	ms.seed(nd)
}

func (ms *mesh) seed(nd *meshNode) {
	var seeds []types.Address
	for _, other := range ms.nodes {
		if other != nd && other.address != "" {
			seeds = append(seeds, other.address)
		}
	}
	nd.table.AddSeeds(fleet.SeedsFound{Addresses: seeds})
}

// advance lets time pass, a tick at a time.
func (ms *mesh) advance(limit time.Duration) {
	for end := ms.now.Add(limit); ms.now.Before(end); {
		ms.now = ms.now.Add(tick)
		ms.deliver()
		for _, nd := range ms.nodes {
			if nd.up && !nd.paused {
				ms.run(nd, nd.table.Tick(ms.now))
			}
		}
	}
}

func (ms *mesh) deliver() {
	var due []flight
	ms.flights = slices.DeleteFunc(ms.flights, func(fl flight) bool {
		if fl.at.After(ms.now) {
			return false
		}
		due = append(due, fl)
		return true
	})
	for _, fl := range due {
		fl.deliver()
	}
}

func (ms *mesh) after(wait time.Duration, deliver func()) {
	ms.flights = append(ms.flights, flight{at: ms.now.Add(wait), deliver: deliver})
}

func (ms *mesh) delay() time.Duration {
	if ms.rand.IntN(100) < ms.late {
		return time.Duration(ms.rand.IntN(4)) * time.Second
	}
	return time.Duration(ms.rand.IntN(50)) * time.Millisecond
}

// passes reports whether a message gets from one process to another.
func (ms *mesh) passes(from, to *meshNode) bool {
	return to != nil && from.up && to.up && !to.paused && !ms.cut(from.number, to.number) && ms.rand.IntN(100) >= ms.lost
}

func (ms *mesh) at(address types.Address) *meshNode {
	for _, nd := range ms.nodes {
		if nd.address == address {
			return nd
		}
	}
	return nil
}

func (ms *mesh) run(nd *meshNode, effects []types.Effect) {
	for _, effect := range effects {
		switch ef := effect.(type) {
		case fleet.SendExchange:
			ms.exchange(nd, ef)
		case fleet.ReplyExchange:
			ms.members += len(ef.Message.Members)
			ms.reports += len(ef.Message.Reports)
			nd.waiting[ef.Token](ef.Message)
			delete(nd.waiting, ef.Token)
		case fleet.ProbeThrough:
			ms.probe(nd, ef)
		case fleet.PullConfig:
			ms.pull(nd, ef)
		case fleet.StatusChanged:
			ms.note("%s: %s is %s", nd.table.Self().ID, ef.Member.ID, ef.Member.Status)
		case fleet.Superseded:
			ms.note("%s at %s is superseded by %s", nd.table.Self().ID, nd.address, ef.By.Address)
			nd.up = false
		case fleet.Duplicated:
			ms.note("%s: %s still runs at %s", nd.table.Self().ID, ef.Older.ID, ef.Older.Address)
		}
	}
}

func (ms *mesh) note(format string, args ...any) {
	ms.log = append(ms.log, fmt.Sprintf("%6.1fs ", ms.now.Sub(epoch).Seconds())+fmt.Sprintf(format, args...))
}

func (ms *mesh) exchange(nd *meshNode, ef fleet.SendExchange) {
	ms.sent++
	ms.members += len(ef.Message.Members)
	ms.reports += len(ef.Message.Reports)
	table, to := nd.table, ms.at(ef.Address)
	failed := func() {
		if nd.table == table && nd.up {
			ms.run(nd, table.Failed(fleet.ExchangeFailed{Peer: ef.Peer, Address: ef.Address}, ms.now))
		}
	}
	if !ms.passes(nd, to) {
		ms.after(callTimeout, failed)
		return
	}
	copies := 1
	if ms.rand.IntN(100) < ms.doubled {
		copies++
	}
	for range copies {
		ms.after(ms.delay(), func() { ms.receive(nd, table, to, ef) })
	}
}

func (ms *mesh) receive(nd *meshNode, table *fleet.Table, to *meshNode, ef fleet.SendExchange) {
	if !to.up || to.paused || to.address != ef.Address {
		return
	}
	ms.token++
	to.waiting[ms.token] = func(answer fleet.Message) {
		if !ms.passes(to, nd) {
			return
		}
		ms.after(ms.delay(), func() {
			if nd.table == table && nd.up && !nd.paused {
				event := fleet.ExchangeAnswered{Peer: ef.Peer, Address: ef.Address, Epoch: ef.Epoch, Message: answer}
				ms.run(nd, table.Answered(event, ms.now))
			}
		})
	}
	ms.run(to, to.table.Received(fleet.ExchangeReceived{Token: ms.token, Message: ef.Message}, ms.now))
}

func (ms *mesh) probe(nd *meshNode, ef fleet.ProbeThrough) {
	table, via, to := nd.table, ms.at(ef.ViaAddress), ms.at(ef.Address)
	reached := ms.passes(nd, via) && ms.passes(via, to)
	ms.after(ms.delay(), func() {
		if nd.table == table && nd.up {
			ms.run(nd, table.Probed(fleet.ProbeEnded{Peer: ef.Peer, Via: ef.Via, Reached: reached}, ms.now))
		}
	})
}

func (ms *mesh) pull(nd *meshNode, ef fleet.PullConfig) {
	table, to := nd.table, ms.at(ef.Address)
	ms.after(ms.delay(), func() {
		if nd.table != table || !nd.up {
			return
		}
		if ms.passes(nd, to) && to.held > nd.held {
			ms.hold(nd, to.held)
		}
		ms.run(nd, table.Pulled(fleet.PullEnded{Peer: ef.Peer, Version: ef.Version}, ms.now))
	})
}

func (ms *mesh) hold(nd *meshNode, version types.Version) {
	nd.held = version
	nd.table.Hold(version, types.Hash(fmt.Sprint(version)))
}

// live returns the running nodes.
func (ms *mesh) live() []*meshNode {
	var live []*meshNode
	for _, nd := range ms.nodes {
		if nd.up && !nd.paused {
			live = append(live, nd)
		}
	}
	return live
}

// agreed returns what is wrong with the views of the running nodes, if they
// are not one.
func (ms *mesh) agreed() string {
	live := ms.live()
	for _, nd := range live {
		for _, other := range live {
			member, _ := nd.table.Member(other.table.Self().ID)
			if member.Status != fleet.Alive || member.Address != other.address || member.Held < other.held {
				return fmt.Sprintf("n%d sees n%d as %+v\n%s", nd.number, other.number, member, strings.Join(ms.log, "\n"))
			}
		}
		if nd.table.View() != live[0].table.View() {
			return fmt.Sprintf("the views of n%d and n%d differ\n%s", nd.number, live[0].number, strings.Join(ms.log, "\n"))
		}
	}
	return ""
}

// steady returns a record that went back in any view.
func (ms *mesh) steady() string {
	for _, nd := range ms.live() {
		for _, member := range nd.table.Members() {
			old := nd.floors[member.ID]
			older := member.Started.Before(old.Started) || member.Started.Equal(old.Started) && member.Incarnation < old.Incarnation
			if older || member.Held < old.Held {
				return fmt.Sprintf("n%d: %s went from %+v to %+v", nd.number, member.ID, old, member)
			}
			nd.floors[member.ID] = member
		}
		if nd.held < nd.lowest {
			return fmt.Sprintf("n%d: the version went back", nd.number)
		}
		nd.lowest = nd.held
	}
	return ""
}
