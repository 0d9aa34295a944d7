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

// single is one node that has joined and holds a configuration.
type single struct {
	state    *core.State
	snapshot conf.Snapshot
	now      time.Time
	last     uint64
}

// newSingle returns a node with a number of services of 4 upstreams each, the
// first upstream of the first service being its own.
func newSingle(tb testing.TB, services, upstreams int, rules ...conf.UpstreamRule) *single {
	tb.Helper()
	sg := newSilent(tb, services, upstreams, rules...)
	sg.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
	return sg
}

// newSilent returns a node whose own upstream has not announced itself.
func newSilent(tb testing.TB, services, upstreams int, rules ...conf.UpstreamRule) *single {
	tb.Helper()
	self := fleet.Member{ID: "i0", Zone: "kolkata", Address: "10.0.0.1:1", Incarnation: 1, Started: start.Add(-time.Hour)}
	sg := &single{state: core.New(self, core.WithSeed(1)), now: start}
	config := conf.Config{Rules: rules}
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
	sg.snapshot = snapshot
	sg.step(conf.Offered{Snapshot: snapshot, Version: 1})
	sg.step(core.RootRead{Epoch: sg.state.Fleet().Epoch(), Version: 1})
	message := fleet.Message{From: "i1", Incarnation: 1, Version: 1, Full: true}
	for number := 1; number < upstreams; number++ {
		message.Members = append(message.Members, fleet.Member{
			ID: types.InstanceID(fmt.Sprintf("i%d", number)), Incarnation: 1, Status: fleet.Alive, Zone: "howrah", Held: 1,
			Address: types.Address(fmt.Sprintf("10.0.1.%d:1", number)), Service: config.Services[number%services].Name,
			Upstream: types.Some(fleet.Upstream{Slots: 10, Connections: 100}), Started: start.Add(-time.Hour),
		})
	}
	if upstreams > 1 {
		sg.step(fleet.ExchangeAnswered{Peer: "i1", Address: "10.0.1.1:1", Message: message})
	}
	return sg
}

func (sg *single) step(event types.Event) []types.Effect { return sg.state.Step(event, sg.now) }

func (sg *single) announce(announcement core.Announcement) []types.Effect {
	return sg.step(core.UpstreamAnnounced{Announcement: announcement})
}

func (sg *single) work(count int, left time.Duration) []types.Effect {
	var effects []types.Effect
	for range count {
		sg.last++
		work := admit.Work{ID: types.WorkID(sg.last), Service: "s0", Route: "s0", Importance: conf.Normal, Deadline: sg.now.Add(left)}
		effects = append(effects, sg.step(admit.Arrived{Work: work})...)
	}
	return effects
}

// tally counts the dispatched, refused and aborted works among effects.
func tally(effects []types.Effect) (dispatched int, refused []*fault.Error, aborted int) {
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
	dispatched, refused, aborted := tally(effects)
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
	sg := newSingle(t, 1, 2)
	dispatched, _, _ := tally(sg.work(12, time.Second))
	check.Equal(dispatched, 10)
	checkRefused(check, sg.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100, Leaving: true}), 2, fault.Closed)
	checkRefused(check, sg.work(1, time.Second), 1, fault.Closed)
	check.Equal(sg.state.Load(sg.now).Outstanding, 10) // running work goes on
}

func TestAnnouncementExpires(t *testing.T) {
	check := is.New(t)
	sg := newSingle(t, 1, 2)
	sg.work(12, time.Minute)
	var effects []types.Effect
	for range 11 {
		sg.now = sg.now.Add(time.Second)
		effects = append(effects, sg.step(core.Tick{})...)
	}
	checkRefused(check, effects, 2, fault.NoUpstream)
	check.Equal(sg.state.Load(sg.now).Outstanding, 10)
}

func TestUpstreamChangesService(t *testing.T) {
	check := is.New(t)
	sg := newSingle(t, 2, 2)
	sg.work(12, time.Second)
	checkRefused(check, sg.announce(core.Announcement{Service: "s1", Slots: 20, Connections: 100}), 2, fault.NoUpstream)
}

func TestRuleCapsSlots(t *testing.T) {
	check := is.New(t)
	sg := newSingle(t, 1, 2, conf.UpstreamRule{Name: "few", Service: "s0", Slots: 8, Connections: 3})
	dispatched, _, _ := tally(sg.work(5, time.Second))
	check.Equal(dispatched, 3) // the lower of slots and connections
}

// TestClosingHour sends work near the closing hour of the only upstreams.
func TestClosingHour(t *testing.T) {
	check := is.New(t)
	hours := conf.Hours{TimeZone: "UTC", Location: time.UTC, Spans: []conf.Span{{From: conf.Clock(9 * time.Hour), To: conf.Clock(11 * time.Hour)}}}
	sg := newSingle(t, 1, 2, conf.UpstreamRule{Name: "day", Service: "s0", Hours: types.Some(hours)})
	sg.work(10, time.Minute)
	sg.now = sg.now.Add(time.Second)
	for id := 1; id <= 10; id++ {
		sg.step(admit.Ended{ID: types.WorkID(id), Ran: fault.Ran, Elapsed: time.Second, Whole: true})
	}
	sg.now = start.Add(time.Hour - 3*time.Second)
	sg.step(core.Tick{})
	sg.step(core.RootRead{Epoch: sg.state.Fleet().Epoch(), Version: 1})
	sg.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
	dispatched, _, _ := tally(sg.work(12, time.Minute))
	check.Equal(dispatched, 10)
	sg.now = sg.now.Add(2500 * time.Millisecond) // work on the route takes a second
	checkRefused(check, sg.work(1, time.Minute), 1, fault.Closed)
	sg.now = sg.now.Add(500 * time.Millisecond)
	checkRefused(check, sg.step(core.Tick{}), 2, fault.Closed)
	check.Equal(sg.state.Load(sg.now).Outstanding, 10) // running work goes on
	call := flow.CallArrived{Call: 1, Request: "r", Target: route.Request{Method: "GET", Path: "/s0"}}
	for _, effect := range sg.step(call) {
		_, started := effect.(flow.StartAttempt)
		check.True(!started) // no upstream is open
	}
}

// TestUnreachableOwnerIsAvoided lets the node of one upstream be gone while its
// record still says that it lives, and another be without its upstream.
func TestUnreachableOwnerIsAvoided(t *testing.T) {
	check := is.New(t)
	sg := newSingle(t, 1, 5)
	const calls = 200
	bad := 0
	for id := types.CallID(1); id <= calls; id++ {
		sg.now = sg.now.Add(10 * time.Millisecond)
		effects := sg.step(flow.CallArrived{Call: id, Request: "r", Target: route.Request{Method: "GET", Path: "/s0"}})
		for at := 0; at < len(effects); at++ {
			attempt, ok := effects[at].(flow.StartAttempt)
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
			effects = append(effects, sg.step(ended)...)
		}
	}
	check.True(bad < calls/20) // a few probes are left
}

func TestQueueKinds(t *testing.T) {
	for kind, want := range map[core.QueueKind]int{core.QueueShed: 10, core.QueueFIFO: 10, core.QueueNone: 40} {
		t.Run(string(kind), func(t *testing.T) {
			check := is.New(t)
			policies := core.DefaultPolicies()
			policies.Queue = kind
			check.NoErr(policies.Validate())
			sg := newSingle(t, 1, 2)
			sg.state = core.New(sg.state.Fleet().Self(), core.WithPolicies(policies))
			sg.step(conf.Offered{Snapshot: sg.snapshot, Version: 1})
			sg.step(core.RootRead{Epoch: sg.state.Fleet().Epoch(), Version: 1})
			sg.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
			dispatched, refused, _ := tally(sg.work(40, time.Second))
			check.Equal(dispatched, want)
			check.Equal(len(refused) > 0, kind == core.QueueShed)
		})
	}
	check := is.New(t)
	check.True(core.Policies{Balance: "best", Queue: core.QueueShed, Spread: core.SpreadWatch}.Validate() != nil)
}

// BenchmarkCall measures a call from its arrival to its answer, at the entry
// and at the owner.
func BenchmarkCall(b *testing.B) {
	for _, upstreams := range []int{17, 200, 910} {
		b.Run(fmt.Sprintf("upstreams-%d", upstreams), func(b *testing.B) {
			sg := newSingle(b, min(140, upstreams/4), upstreams)
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				sg.now = sg.now.Add(100 * time.Microsecond)
				call := types.CallID(id)
				sg.step(flow.CallArrived{Call: call, Request: "r", Target: route.Request{Method: "GET", Path: "/s0/7"}})
				sg.work(1, time.Second)
				sg.step(admit.Ended{ID: types.WorkID(sg.last), Ran: fault.Ran, Elapsed: time.Millisecond, Whole: true})
				sg.step(flow.AttemptEnded{Call: call, Attempt: 1, Verdict: flow.Answered, Elapsed: time.Millisecond})
				if id%10_000 == 0 {
					sg.step(core.Tick{})
					sg.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
				}
			}
		})
	}
}
