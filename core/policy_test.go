package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

var start = time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)

// tickInterval is the time between two ticks of a node that is not paused.
const tickInterval = 100 * time.Millisecond

// singleNode drives one node that has joined a fleet and has a configuration.
type singleNode struct {
	state    *core.State
	snapshot conf.Snapshot
	now      time.Time
	lastID   uint64
}

// newNode returns a node in a fleet with the given numbers of services and of
// upstreams, which are spread over the services. The node owns an upstream of the
// first service.
func newNode(tb testing.TB, services, upstreams int, rules ...conf.UpstreamRule) *singleNode {
	tb.Helper()
	sn := newConfiguredNode(tb, services, upstreams, rules)
	sn.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
	return sn
}

// newUnannouncedNode is like newNode, but with one service and two upstreams, and the
// node's own upstream has not announced itself.
func newUnannouncedNode(tb testing.TB, opts ...core.Option) *singleNode {
	tb.Helper()
	return newConfiguredNode(tb, 1, 2, nil, opts...)
}

func newConfiguredNode(tb testing.TB, services, upstreams int, rules []conf.UpstreamRule, opts ...core.Option) *singleNode {
	tb.Helper()
	self := fleet.Member{ID: "i0", Zone: "kolkata", Address: "10.0.0.1:1", Incarnation: 1, StartedAt: start.Add(-time.Hour)}
	sn := &singleNode{state: core.New(self, append(opts, core.WithSeed(1))...), now: start}
	config := conf.Config{UpstreamRules: rules}
	for number := range services {
		name := fmt.Sprintf("s%d", number)
		config.Services = append(config.Services, conf.Service{Name: types.ServiceName(name)})
		config.Routes = append(config.Routes, conf.Route{
			Name: types.RouteName(name), Service: types.ServiceName(name), Match: conf.Match{PathPrefix: "/" + name},
			Idempotent: true, Importance: conf.Normal, Deadline: time.Second,
		})
	}
	snapshot, err := conf.NewSnapshot(conf.Root{Version: 1}, "", config, conf.Bundle{})
	if err != nil {
		tb.Fatal(err)
	}
	sn.snapshot = snapshot
	sn.step(conf.VersionOffered{Snapshot: snapshot, Version: 1})
	sn.step(core.RootRead{Epoch: sn.state.Fleet().Epoch(), Version: 1})
	message := fleet.Message{From: "i1", Incarnation: 1, Version: 1, Full: true}
	for number := 1; number < upstreams; number++ {
		message.Members = append(message.Members, fleet.Member{
			ID: types.InstanceID(fmt.Sprintf("i%d", number)), Incarnation: 1, Status: fleet.Alive, Zone: "howrah", HeldVersion: 1,
			Address: types.Address(fmt.Sprintf("10.0.1.%d:1", number)), Service: config.Services[number%services].Name,
			Upstream: types.Some(fleet.Upstream{Slots: 10, Connections: 100}), StartedAt: start.Add(-time.Hour),
		})
	}
	if upstreams > 1 {
		sn.step(fleet.ExchangeAnswered{Peer: "i1", Address: "10.0.1.1:1", Message: message})
	}
	return sn
}

func (sn *singleNode) step(event types.Event) []types.Effect { return sn.state.Step(event, sn.now) }

func (sn *singleNode) announce(announcement core.Announcement) []types.Effect {
	return sn.step(core.UpstreamAnnounced{Announcement: announcement})
}

func (sn *singleNode) work(count int, left time.Duration) []types.Effect {
	var effects []types.Effect
	for range count {
		sn.lastID++
		work := admit.WorkItem{ID: types.WorkID(sn.lastID), Service: "s0", Route: "s0", Importance: conf.Normal, Deadline: sn.now.Add(left)}
		effects = append(effects, sn.step(admit.Arrived{Work: work})...)
	}
	return effects
}

// countOutcomes counts the dispatched and aborted work items among effects and
// returns the errors of the refused ones.
func countOutcomes(effects []types.Effect) (dispatched int, refused []*fault.Error, aborted int) {
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			dispatched++
		case admit.Refuse:
			refused = append(refused, ef.Err)
		case admit.Abort:
			aborted++
		}
	}
	return dispatched, refused, aborted
}

func checkRefused(check *is.I, effects []types.Effect, count int, kind fault.Kind) {
	check.Helper()
	dispatched, refused, aborted := countOutcomes(effects)
	check.Equal(dispatched, 0)
	check.Equal(aborted, 0)
	check.Equal(len(refused), count)
	for _, err := range refused {
		check.Equal(err.Kind, kind)
		check.Equal(err.Outcome, fault.NotRun)
		check.True(err.RetryAfter > 0)
	}
}

func TestUpstreamLeaves(t *testing.T) {
	check := is.New(t)
	sn := newNode(t, 1, 2)
	dispatched, _, _ := countOutcomes(sn.work(12, time.Second))
	check.Equal(dispatched, 10)
	checkRefused(check, sn.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100, Leaving: true}), 2, fault.Closed)
	checkRefused(check, sn.work(1, time.Second), 1, fault.Closed)
	check.Equal(sn.state.Load(sn.now).Outstanding, 10) // running work continues
}

func TestAnnouncementExpires(t *testing.T) {
	check := is.New(t)
	sn := newNode(t, 1, 2)
	sn.work(12, time.Minute)
	var effects []types.Effect
	for range 11 {
		sn.now = sn.now.Add(time.Second)
		effects = append(effects, sn.step(core.Tick{})...)
	}
	checkRefused(check, effects, 2, fault.NoUpstream)
	check.Equal(sn.state.Load(sn.now).Outstanding, 10)
}

func TestUpstreamChangesService(t *testing.T) {
	check := is.New(t)
	sn := newNode(t, 2, 2)
	sn.work(12, time.Second)
	checkRefused(check, sn.announce(core.Announcement{Service: "s1", Slots: 20, Connections: 100}), 2, fault.NoUpstream)
}

func TestRuleCapsSlots(t *testing.T) {
	check := is.New(t)
	sn := newNode(t, 1, 2, conf.UpstreamRule{Name: "few", Service: "s0", MaxSlots: 8, MaxConnections: 3})
	dispatched, _, _ := countOutcomes(sn.work(5, time.Second))
	check.Equal(dispatched, 3) // the lower limit of slots and connections applies
}

// TestClosingHour checks, shortly before all upstreams close, that work which
// would end after closing time is refused and that running work continues.
func TestClosingHour(t *testing.T) {
	check := is.New(t)
	hours := conf.Hours{TimeZone: "UTC", Location: time.UTC, Spans: []conf.Span{{From: conf.TimeOfDay(9 * time.Hour), To: conf.TimeOfDay(11 * time.Hour)}}}
	sn := newNode(t, 1, 2, conf.UpstreamRule{Name: "day", Service: "s0", Hours: types.Some(hours)})
	sn.work(10, time.Minute)
	sn.now = sn.now.Add(time.Second)
	for id := 1; id <= 10; id++ {
		sn.step(admit.Ended{ID: types.WorkID(id), Outcome: fault.Ran, Elapsed: time.Second, Complete: true})
	}
	sn.now = start.Add(time.Hour - 3*time.Second)
	sn.step(core.Tick{})
	sn.step(core.RootRead{Epoch: sn.state.Fleet().Epoch(), Version: 1})
	sn.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
	dispatched, _, _ := countOutcomes(sn.work(12, time.Minute))
	check.Equal(dispatched, 10)
	sn.now = sn.now.Add(2500 * time.Millisecond) // work on the route usually takes a second
	checkRefused(check, sn.work(1, time.Minute), 1, fault.Closed)
	sn.now = sn.now.Add(500 * time.Millisecond)
	checkRefused(check, sn.step(core.Tick{}), 2, fault.Closed)
	check.Equal(sn.state.Load(sn.now).Outstanding, 10) // running work continues
	call := flow.CallArrived{Call: 1, Request: "r", Target: route.Request{Method: "GET", Path: "/s0"}}
	for _, effect := range sn.step(call) {
		_, started := effect.(flow.StartAttempt)
		check.True(!started) // no upstream is open
	}
}

// TestUnreachableOwnerIsAvoided guards against sending a lasting share of calls to
// owners that fail all work. One owner node is unreachable although its record
// says that it is alive, and another cannot reach its upstream.
func TestUnreachableOwnerIsAvoided(t *testing.T) {
	check := is.New(t)
	sn := newNode(t, 1, 5)
	const calls = 200
	bad := 0
	for id := types.CallID(1); id <= calls; id++ {
		sn.now = sn.now.Add(10 * time.Millisecond)
		effects := sn.step(flow.CallArrived{Call: id, Request: "r", Target: route.Request{Method: "GET", Path: "/s0"}})
		for i := 0; i < len(effects); i++ {
			attempt, ok := effects[i].(flow.StartAttempt)
			if !ok {
				continue
			}
			ended := flow.AttemptEnded{Call: id, Attempt: attempt.Attempt, Verdict: flow.Answered, Elapsed: time.Millisecond}
			switch attempt.Target.ID {
			case "i1":
				ended.Verdict, ended.Err = flow.Unsent, fault.New(fault.Unreachable, "connect to the node")
			case "i2":
				ended.Verdict, ended.Err = flow.NotRun, fault.New(fault.Unreachable, "connect to the upstream")
			}
			if ended.Verdict != flow.Answered && id > calls/2 {
				bad++
			}
			effects = append(effects, sn.step(ended)...)
		}
	}
	check.True(bad < calls/20) // some calls still probe the failed owners
}

func TestQueueKinds(t *testing.T) {
	for kind, want := range map[core.QueueKind]int{core.QueueShed: 10, core.QueueFIFO: 10, core.QueueNone: 40} {
		t.Run(string(kind), func(t *testing.T) {
			check := is.New(t)
			policies := core.DefaultPolicies()
			policies.Queue = kind
			check.NoErr(policies.Validate())
			sn := newNode(t, 1, 2)
			sn.state = core.New(sn.state.Fleet().Self(), core.WithPolicies(policies))
			sn.step(conf.VersionOffered{Snapshot: sn.snapshot, Version: 1})
			sn.step(core.RootRead{Epoch: sn.state.Fleet().Epoch(), Version: 1})
			sn.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
			dispatched, refused, _ := countOutcomes(sn.work(40, time.Second))
			check.Equal(dispatched, want)
			check.Equal(len(refused) > 0, kind == core.QueueShed)
		})
	}
	check := is.New(t)
	check.True(core.Policies{Balance: "best", Queue: core.QueueShed, Spread: core.SpreadWatch}.Validate() != nil)
}

// BenchmarkCall measures the decisions for one call from its arrival to its
// answer, both at the entry node and at the owner node.
func BenchmarkCall(b *testing.B) {
	for _, upstreams := range []int{17, 200, 910} {
		b.Run(fmt.Sprintf("upstreams-%d", upstreams), func(b *testing.B) {
			sn := newNode(b, min(140, upstreams/4), upstreams)
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				sn.now = sn.now.Add(100 * time.Microsecond)
				call := types.CallID(id)
				sn.step(flow.CallArrived{Call: call, Request: "r", Target: route.Request{Method: "GET", Path: "/s0/7"}})
				sn.work(1, time.Second)
				sn.step(admit.Ended{ID: types.WorkID(sn.lastID), Outcome: fault.Ran, Elapsed: time.Millisecond, Complete: true})
				sn.step(flow.AttemptEnded{Call: call, Attempt: 1, Verdict: flow.Answered, Elapsed: time.Millisecond})
				if id%10_000 == 0 {
					sn.step(core.Tick{})
					sn.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
				}
			}
		})
	}
}

// BenchmarkPickOfMany measures the decisions of an entry node for one call to a service
// with many owners.
func BenchmarkPickOfMany(b *testing.B) {
	const owners = 132
	sn := newNode(b, 1, owners)
	id := types.CallID(0)
	for b.Loop() {
		id++
		sn.now = sn.now.Add(5 * time.Millisecond)
		sn.step(flow.CallArrived{Call: id, Request: "r", Target: route.Request{Method: "GET", Path: "/s0/7"}})
		sn.step(flow.AttemptEnded{Call: id, Attempt: 1, Verdict: flow.Answered, Elapsed: time.Millisecond})
	}
}
