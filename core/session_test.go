package core_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// session runs the commands of a golden file against one State, on virtual time.
type session struct {
	t     *testing.T
	data  *datadriven.TestData
	state *core.State
	now   time.Time
	// announced is the announcement that "advance" renews with every tick.
	announced types.Option[core.UpstreamAnnounced]
}

// TestSessions runs the golden files of testdata/sessions. Each command applies an
// event, and its output lists the effects.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		se := &session{now: epoch}
		policies := core.DefaultPolicies()
		policies.Balance = core.BalanceRoundRobin
		se.state = core.New(memberOf("a", epoch), core.WithPolicies(policies), core.WithKeys(limits, flow.WithMaxKeys(4), flow.WithMaxBytes(20)), core.WithAdmission(admit.WithQueue(1)))
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			se.t, se.data = t, data
			return se.command()
		})
	})
}

func (se *session) command() string {
	switch se.data.Cmd {
	case "adopt":
		se.state.Step(core.RootRead{Epoch: se.state.Fleet().Epoch(), Version: 1}, se.now)
		return se.step(conf.VersionOffered{Snapshot: snapshot(), Version: 1})
	case "advance":
		wait, err := time.ParseDuration(se.data.CmdArgs[0].Key)
		if err != nil {
			se.t.Fatal(err)
		}
		for end := se.now.Add(wait); se.now.Before(end); se.now = se.now.Add(min(tickInterval, end.Sub(se.now))) {
			if event, ok := se.announced.Get(); ok {
				se.state.Step(event, se.now)
			}
			se.state.Step(core.Tick{}, se.now)
		}
		return se.step(core.Tick{})
	case "announce":
		event := core.UpstreamAnnounced{Announcement: core.Announcement{
			Service: "intake", Slots: se.number("slots", 1), Connections: 4, Leaving: se.data.HasArg("leaving"),
		}}
		se.announced = types.Some(event)
		return se.step(event)
	case "peer":
		return se.peer()
	case "stop":
		return se.step(core.StopRequested{})
	case "state":
		return fmt.Sprintf("ready=%v open=%d keys=%d", se.state.Ready(), se.state.InProgressCount(), se.state.KeyCount())
	default:
		return se.callCommand()
	}
}

// callCommand runs the commands for calls, attempts, work items and timers.
func (se *session) callCommand() string {
	switch se.data.Cmd {
	case "call":
		event := flow.CallArrived{
			Call: types.CallID(se.number("id", 1)), Request: types.RequestID(se.text("request", "r")), Key: se.key(),
			Target: route.Request{Method: "POST", Path: se.text("path", "/booking")},
		}
		if limit, err := time.ParseDuration(se.text("limit", "")); err == nil {
			event.Limit = types.Some(limit)
		}
		return se.step(event)
	case "cancel-call":
		return se.step(flow.CallCanceled{Call: types.CallID(se.number("id", 1))})
	case "cancel-work":
		return se.step(admit.Canceled{ID: types.WorkID(se.number("id", 1))})
	case "attempt":
		return se.attempt()
	case "work":
		declinedBy := types.NewSet(types.InstanceID(se.text("passed", "")))
		return se.step(admit.Arrived{Work: admit.WorkItem{
			ID: types.WorkID(se.number("id", 1)), Service: "intake", Route: "booking", Importance: conf.Normal, Key: se.key(),
			Fingerprint: uint64(se.number("print", 7)), LastOwner: se.data.HasArg("last"), KeyDeclinedBy: declinedBy, Deadline: se.now.Add(5 * time.Second),
		}})
	case "work-ended":
		return se.workEnded()
	case "fire":
		kinds := map[string]types.TimerKind{"deadline": types.CallDeadline, "hedge": types.CallHedge, "queue": types.QueueDeadline}
		id := se.number("id", 1)
		return se.step(types.TimerFired{Timer: types.Timer{Kind: kinds[se.text("kind", "")], Call: types.CallID(id), Work: types.WorkID(id)}})
	}
	se.t.Fatalf("unknown command %s", se.data.Cmd)
	return ""
}

func (se *session) peer() string {
	started := epoch
	if ago, err := time.ParseDuration(se.text("started-ago", "")); err == nil {
		started = se.now.Add(-ago)
	}
	member := memberOf(se.text("id", "b"), started)
	member.Incarnation += uint64(se.now.Sub(epoch).Milliseconds()) + 1
	member.Service, member.HeldVersion, member.Status = "intake", 1, fleet.Alive
	ready := started
	if ago, err := time.ParseDuration(se.text("ready-ago", "")); err == nil {
		ready = se.now.Add(-ago)
	}
	member.Upstream = types.Some(fleet.Upstream{Slots: 4, ReadyAt: ready, Leaving: se.data.HasArg("leaving")})
	if se.data.HasArg("gone") {
		member.Status = fleet.Left
	}
	message := fleet.Message{From: member.ID, Incarnation: member.Incarnation, Version: 1, Digest: "digest", Members: []fleet.Member{member}}
	if member.Status == fleet.Left {
		message.From, message.Incarnation = "z", 1
	}
	return se.step(fleet.ExchangeAnswered{Peer: message.From, Address: member.Address, Message: message})
}

func (se *session) attempt() string {
	verdicts := map[string]flow.Verdict{"answered": flow.Answered, "not-run": flow.NotRun, "lost": flow.Lost, "unsent": flow.Unsent}
	event := flow.AttemptEnded{
		Call: types.CallID(se.number("call", 1)), Attempt: se.number("number", 1),
		Verdict: verdicts[se.text("verdict", "answered")], KeyDeclined: se.data.HasArg("passed-on"),
		Elapsed: time.Duration(se.number("millis", 10)) * time.Millisecond,
	}
	if event.Verdict != flow.Answered {
		kind, _ := fault.ParseKind(se.text("kind", "overloaded"))
		event.Err = fault.New(kind, "reason").WithRetryAfter(time.Duration(se.number("wait", 0)) * time.Millisecond)
		if se.data.HasArg("before") {
			event.Err = event.Err.WithOutcome(fault.Unknown)
		}
	}
	for range se.number("times", 1) - 1 {
		se.state.Step(flow.CallArrived{Call: event.Call, Target: route.Request{Method: "POST", Path: "/status"}}, se.now)
		se.state.Step(event, se.now)
		event.Call++
	}
	return se.step(event)
}

func (se *session) workEnded() string {
	outcomes := map[string]fault.Outcome{"ran": fault.Ran, "not-run": fault.NotRun, "unknown": fault.Unknown}
	ran := outcomes[se.text("ran", "ran")]
	event := admit.Ended{ID: types.WorkID(se.number("id", 1)), Outcome: ran, Elapsed: 10 * time.Millisecond, Size: se.number("size", 10), Complete: ran == fault.Ran}
	if ran != fault.Ran {
		event.Err = fault.New(fault.BrokenAnswer, "reason")
	}
	return se.step(event)
}

// key returns an idempotency key with the number in the "key" argument. The key
// is minted at epoch plus the duration in the "minted" argument, one minute by
// default. If there is no "key" argument, key returns no key.
func (se *session) key() types.Option[types.Key] {
	number := se.number("key", 0)
	if number == 0 {
		return types.None[types.Key]()
	}
	minted, err := time.ParseDuration(se.text("minted", "1m"))
	if err != nil {
		se.t.Fatal(err)
	}
	return types.Some(mint(epoch.Add(minted), uint64(number)))
}

func (se *session) number(name string, fallback int) int {
	number, err := strconv.Atoi(se.text(name, strconv.Itoa(fallback)))
	if err != nil {
		se.t.Fatal(err)
	}
	return number
}

func (se *session) text(name, fallback string) string {
	for _, arg := range se.data.CmdArgs {
		if arg.Key == name {
			return arg.Vals[0]
		}
	}
	return fallback
}

func (se *session) step(event types.Event) string {
	var out strings.Builder
	for _, effect := range se.state.Step(event, se.now) {
		if text := se.describe(effect); text != "" {
			out.WriteString(text + "\n")
		}
	}
	return out.String()
}

func (se *session) describe(effect types.Effect) string {
	switch ef := effect.(type) {
	case trace.Count:
		return "count " + ef.Counter.String()
	case types.SetTimer:
		return fmt.Sprintf("timer %s call=%d work=%d in %s", ef.Timer.Kind, ef.Timer.Call, ef.Timer.Work, ef.At.Sub(se.now))
	case flow.StartAttempt:
		return fmt.Sprintf("start call=%d attempt=%d at %s local=%v last=%v left=%s", ef.Call, ef.Attempt, ef.Target.ID, ef.Target.Local, ef.LastOwner, ef.Deadline.Sub(se.now))
	case flow.CancelAttempt:
		return fmt.Sprintf("cancel call=%d attempt=%d", ef.Call, ef.Attempt)
	case flow.Deliver:
		return fmt.Sprintf("deliver call=%d attempt=%d", ef.Call, ef.Attempt)
	case flow.Fail:
		return fmt.Sprintf("fail call=%d %s wait=%s: %s", ef.Call, ef.Err.Outcome, ef.Err.RetryAfter, ef.Err)
	case admit.Dispatch:
		return fmt.Sprintf("dispatch work=%d", ef.Work.ID)
	case admit.Refuse:
		return fmt.Sprintf("refuse work=%d: %s", ef.Work.ID, ef.Err)
	case admit.Abort:
		return fmt.Sprintf("abort work=%d", ef.ID)
	case flow.Settle:
		return fmt.Sprintf("settle work=%d %s passed-on=%v: %s", ef.Work, ef.Verdict, ef.KeyDeclined, ef.Err)
	case flow.Replay:
		return fmt.Sprintf("replay work=%d of=%d", ef.Work, ef.Of)
	case flow.DeleteWork:
		return fmt.Sprintf("forget work=%d", ef.Work)
	case core.Drained:
		return "drained"
	case conf.VersionAdopted:
		return fmt.Sprintf("adopted version=%d", ef.Snapshot.Version())
	}
	return ""
}
