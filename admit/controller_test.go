package admit_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// controllerSession runs the commands of a golden file against one controller.
type controllerSession struct {
	controller *admit.Controller
	start, now time.Time
	startedAt  map[types.WorkID]time.Time
}

// TestController runs the golden files of testdata/controller. Each
// "controller" command starts a new controller, and "steps" runs the commands
// that step describes.
func TestController(t *testing.T) {
	options := map[string]admit.Option{
		"fifo": admit.WithoutShedding(), "none": admit.WithoutAdmission(), "codel": admit.WithDiscipline(admit.CoDel()),
	}
	datadriven.Walk(t, "testdata/controller", func(t *testing.T, path string) {
		var se *controllerSession
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "controller" {
				start := time.Unix(1000, 0)
				se = &controllerSession{start: start, now: start, startedAt: map[types.WorkID]time.Time{}}
				opts := []admit.Option{admit.WithQueue(4), admit.WithSeed(1)}
				for _, arg := range d.CmdArgs {
					opts = append(opts, options[arg.Key])
				}
				se.controller = admit.NewController(opts...)
				return ""
			}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				out.WriteString(se.step(strings.Fields(line)))
			}
			fmt.Fprintf(&out, "running %d, queued %d\n", se.controller.Running(), se.controller.Queued())
			return out.String()
		})
	})
}

// step runs one command of a golden file and returns the resulting effects. The
// commands are
//
//	at TIME
//	slots NUMBER
//	work ROUTE IMPORTANCE TIME-LEFT ID...
//	learn ROUTE COUNT ELAPSED
//	end|cancel|expire ID...
//	clear
//
// TIME is the time since the start of the controller, and TIME-LEFT is the time
// left until the deadline of the work. The command "learn" runs COUNT work items
// that take ELAPSED each, and "clear" refuses all queued work.
func (se *controllerSession) step(fields []string) string {
	switch fields[0] {
	case "at":
		after, _ := time.ParseDuration(fields[1])
		se.now = se.start.Add(after)
		return ""
	case "slots":
		slots, _ := strconv.Atoi(fields[1])
		return se.formatEffects(se.controller.SetSlots(slots, se.now))
	case "learn":
		count, _ := strconv.Atoi(fields[2])
		elapsed, _ := time.ParseDuration(fields[3])
		for range count {
			se.controller.Submit(admit.WorkItem{ID: 1000, Route: types.RouteName(fields[1]), Deadline: se.now.Add(time.Hour)}, se.now)
			se.controller.Finish(1000, elapsed, se.now)
		}
		return ""
	case "clear":
		return se.formatEffects(se.controller.RefuseQueued(fault.New(fault.Closed, "the upstream is leaving")))
	case "work":
		importance, _ := conf.ParseImportance(fields[2])
		left, _ := time.ParseDuration(fields[3])
		work := admit.WorkItem{Route: types.RouteName(fields[1]), Importance: importance, Deadline: se.now.Add(left)}
		return se.forEachID(fields[4:], func(id types.WorkID) []types.Effect {
			work.ID = id
			return se.controller.Submit(work, se.now)
		})
	default:
		return se.forEachID(fields[1:], func(id types.WorkID) []types.Effect {
			switch fields[0] {
			case "end":
				return se.controller.Finish(id, se.now.Sub(se.startedAt[id]), se.now)
			case "cancel":
				return se.controller.Cancel(id, se.now)
			default:
				return se.controller.Expire(id, se.now)
			}
		})
	}
}

func (se *controllerSession) forEachID(ids []string, act func(types.WorkID) []types.Effect) string {
	var out strings.Builder
	for _, text := range ids {
		id, _ := strconv.Atoi(text)
		out.WriteString(se.formatEffects(act(types.WorkID(id))))
	}
	return out.String()
}

func (se *controllerSession) formatEffects(effects []types.Effect) string {
	var out strings.Builder
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			se.startedAt[ef.Work.ID] = se.now
			fmt.Fprintf(&out, "dispatch %d\n", ef.Work.ID)
		case admit.Refuse:
			fmt.Fprintf(&out, "refuse %d %s (%s) retry after %s\n", ef.Work.ID, ef.Err, ef.Err.Outcome, ef.Err.RetryAfter.Round(time.Millisecond))
		case admit.Abort:
			fmt.Fprintf(&out, "abort %d\n", ef.ID)
		case types.SetTimer:
			fmt.Fprintf(&out, "queue %d until %s\n", ef.Timer.Work, ef.At.Sub(se.start))
		}
	}
	return out.String()
}

// controllerChecker drives a controller and checks its decision on each work
// item.
type controllerChecker struct {
	t          *rapid.T
	controller *admit.Controller
	slots      int
	now        time.Time
	decided    map[types.WorkID]string
	waiting    map[types.WorkID]time.Time
	running    []types.WorkID
}

func (gc *controllerChecker) apply(effects []types.Effect) {
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			gc.recordDecision(ef.Work.ID, "dispatch")
			gc.running = append(gc.running, ef.Work.ID)
			if !gc.now.Before(ef.Work.Deadline) {
				gc.t.Fatalf("work %d runs after its deadline", ef.Work.ID)
			}
			if len(gc.running) > gc.slots {
				gc.t.Fatalf("%d work items run in %d slots", len(gc.running), gc.slots)
			}
		case admit.Refuse:
			gc.recordDecision(ef.Work.ID, "refuse")
			if ef.Err.Outcome != fault.NotRun {
				gc.t.Fatalf("work %d was refused as %s", ef.Work.ID, ef.Err.Outcome)
			}
		case types.SetTimer:
			gc.waiting[ef.Timer.Work] = ef.At
		}
	}
}

func (gc *controllerChecker) recordDecision(id types.WorkID, verdict string) {
	if earlier, ok := gc.decided[id]; ok {
		gc.t.Fatalf("work %d: %s after %s", id, verdict, earlier)
	}
	gc.decided[id] = verdict
	delete(gc.waiting, id)
}

// advance moves the time forward and fires the queue timers that are due.
func (gc *controllerChecker) advance(wait time.Duration) {
	gc.now = gc.now.Add(wait)
	for id, at := range gc.waiting {
		if !at.After(gc.now) {
			gc.apply(gc.controller.Expire(id, gc.now))
		}
	}
}

func (gc *controllerChecker) end(at int) {
	id := gc.running[at]
	gc.running = append(gc.running[:at:at], gc.running[at+1:]...)
	gc.apply(gc.controller.Finish(id, time.Duration(id%7)*10*time.Millisecond, gc.now))
}

// TestControllerProperties checks on random sequences of events that running work
// never exceeds the slots, that the queue stays bounded, and that every work item
// is dispatched or refused exactly once and by its deadline.
func TestControllerProperties(t *testing.T) {
	const queue = 5
	rapid.Check(t, func(t *rapid.T) {
		gc := &controllerChecker{
			t: t, now: time.Unix(1000, 0), decided: map[types.WorkID]string{}, waiting: map[types.WorkID]time.Time{},
			controller: admit.NewController(admit.WithQueue(queue)), slots: rapid.IntRange(1, 4).Draw(t, "slots"),
		}
		gc.apply(gc.controller.SetSlots(gc.slots, gc.now))
		deadlines := map[types.WorkID]time.Time{}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 5:
				id := types.WorkID(step + 1)
				deadlines[id] = gc.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "left")) * time.Millisecond)
				route := types.RouteName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "route"))
				importance := conf.Importance(rapid.IntRange(1, 4).Draw(t, "importance"))
				gc.apply(gc.controller.Submit(admit.WorkItem{ID: id, Route: route, Importance: importance, Deadline: deadlines[id]}, gc.now))
			case action < 7 && len(gc.running) > 0:
				gc.end(rapid.IntRange(0, len(gc.running)-1).Draw(t, "ended"))
			case action == 7:
				gc.apply(gc.controller.Cancel(types.WorkID(rapid.IntRange(0, step+1).Draw(t, "withdrawn")), gc.now))
			default:
				gc.advance(time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * time.Millisecond)
			}
			if gc.controller.Queued() > 2*queue {
				t.Fatalf("%d work items are queued", gc.controller.Queued())
			}
			for id, deadline := range deadlines {
				if _, ok := gc.decided[id]; !ok && gc.now.After(deadline) {
					t.Fatalf("work %d is still queued after its deadline", id)
				}
			}
		}
		gc.apply(gc.controller.RefuseQueued(fault.New(fault.Closed, "the upstream is leaving")))
		if len(gc.decided) != len(deadlines) {
			t.Fatalf("%d of %d work items were dispatched or refused", len(gc.decided), len(deadlines))
		}
	})
}
