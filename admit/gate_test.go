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

// session drives one gate by the lines of a golden file.
type session struct {
	gate       *admit.Gate
	start, now time.Time
	began      map[types.WorkID]time.Time
}

func TestGate(t *testing.T) {
	options := map[string]admit.Option{
		"fifo": admit.WithoutShedding(), "none": admit.WithoutAdmission(), "codel": admit.WithDiscipline(admit.CoDel()),
	}
	datadriven.Walk(t, "testdata/gate", func(t *testing.T, path string) {
		var se *session
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "gate" {
				start := time.Unix(1000, 0)
				se = &session{start: start, now: start, began: map[types.WorkID]time.Time{}}
				opts := []admit.Option{admit.WithQueue(4), admit.WithSeed(1)}
				for _, arg := range d.CmdArgs {
					opts = append(opts, options[arg.Key])
				}
				se.gate = admit.NewGate(opts...)
				return ""
			}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				out.WriteString(se.step(strings.Fields(line)))
			}
			fmt.Fprintf(&out, "running %d, queued %d\n", se.gate.Running(), se.gate.Queued())
			return out.String()
		})
	})
}

// step carries out one of
//
//	at TIME
//	slots NUMBER
//	work ROUTE IMPORTANCE TIME-LEFT ID...
//	learn ROUTE COUNT ELAPSED
//	end|cancel|expire ID...
//	clear
func (se *session) step(fields []string) string {
	switch fields[0] {
	case "at":
		after, _ := time.ParseDuration(fields[1])
		se.now = se.start.Add(after)
		return ""
	case "slots":
		slots, _ := strconv.Atoi(fields[1])
		return se.list(se.gate.SetSlots(slots, se.now))
	case "learn":
		count, _ := strconv.Atoi(fields[2])
		elapsed, _ := time.ParseDuration(fields[3])
		for range count {
			se.gate.Arrive(admit.Work{ID: 1000, Route: types.RouteName(fields[1]), Deadline: se.now.Add(time.Hour)}, se.now)
			se.gate.End(1000, elapsed, se.now)
		}
		return ""
	case "clear":
		return se.list(se.gate.Clear(fault.New(fault.Closed, "the upstream is leaving")))
	case "work":
		importance, _ := conf.ParseImportance(fields[2])
		left, _ := time.ParseDuration(fields[3])
		work := admit.Work{Route: types.RouteName(fields[1]), Importance: importance, Deadline: se.now.Add(left)}
		return se.each(fields[4:], func(id types.WorkID) []types.Effect {
			work.ID = id
			return se.gate.Arrive(work, se.now)
		})
	default:
		return se.each(fields[1:], func(id types.WorkID) []types.Effect {
			switch fields[0] {
			case "end":
				return se.gate.End(id, se.now.Sub(se.began[id]), se.now)
			case "cancel":
				return se.gate.Withdraw(id, se.now)
			default:
				return se.gate.Expire(id, se.now)
			}
		})
	}
}

func (se *session) each(ids []string, act func(types.WorkID) []types.Effect) string {
	var out strings.Builder
	for _, text := range ids {
		id, _ := strconv.Atoi(text)
		out.WriteString(se.list(act(types.WorkID(id))))
	}
	return out.String()
}

func (se *session) list(effects []types.Effect) string {
	var out strings.Builder
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			se.began[ef.Work.ID] = se.now
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

// ledger checks what a gate does with each work.
type ledger struct {
	t       *rapid.T
	gate    *admit.Gate
	slots   int
	now     time.Time
	decided map[types.WorkID]string
	waiting map[types.WorkID]time.Time
	running []types.WorkID
}

func (le *ledger) apply(effects []types.Effect) {
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			le.decide(ef.Work.ID, "dispatch")
			le.running = append(le.running, ef.Work.ID)
			if !le.now.Before(ef.Work.Deadline) {
				le.t.Fatalf("work %d runs after its deadline", ef.Work.ID)
			}
			if len(le.running) > le.slots {
				le.t.Fatalf("%d works run in %d slots", len(le.running), le.slots)
			}
		case admit.Refuse:
			le.decide(ef.Work.ID, "refuse")
			if ef.Err.Outcome != fault.NotRun {
				le.t.Fatalf("work %d was refused as %s", ef.Work.ID, ef.Err.Outcome)
			}
		case types.SetTimer:
			le.waiting[ef.Timer.Work] = ef.At
		}
	}
}

func (le *ledger) decide(id types.WorkID, verdict string) {
	if known, ok := le.decided[id]; ok {
		le.t.Fatalf("work %d: %s after %s", id, verdict, known)
	}
	le.decided[id] = verdict
	delete(le.waiting, id)
}

// advance moves on and fires the timers that fall due.
func (le *ledger) advance(wait time.Duration) {
	le.now = le.now.Add(wait)
	for id, at := range le.waiting {
		if !at.After(le.now) {
			le.apply(le.gate.Expire(id, le.now))
		}
	}
}

func (le *ledger) end(at int) {
	id := le.running[at]
	le.running = append(le.running[:at:at], le.running[at+1:]...)
	le.apply(le.gate.End(id, time.Duration(id%7)*10*time.Millisecond, le.now))
}

// TestGateProperties checks over random events that no more works run than
// there are slots, that the queue is bounded and that every work is dispatched
// or refused once, by its deadline.
func TestGateProperties(t *testing.T) {
	const queue = 5
	rapid.Check(t, func(t *rapid.T) {
		le := &ledger{
			t: t, now: time.Unix(1000, 0), decided: map[types.WorkID]string{}, waiting: map[types.WorkID]time.Time{},
			gate: admit.NewGate(admit.WithQueue(queue)), slots: rapid.IntRange(1, 4).Draw(t, "slots"),
		}
		le.apply(le.gate.SetSlots(le.slots, le.now))
		deadlines := map[types.WorkID]time.Time{}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 5:
				id := types.WorkID(step + 1)
				deadlines[id] = le.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "left")) * time.Millisecond)
				route := types.RouteName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "route"))
				importance := conf.Importance(rapid.IntRange(1, 4).Draw(t, "importance"))
				le.apply(le.gate.Arrive(admit.Work{ID: id, Route: route, Importance: importance, Deadline: deadlines[id]}, le.now))
			case action < 7 && len(le.running) > 0:
				le.end(rapid.IntRange(0, len(le.running)-1).Draw(t, "ended"))
			case action == 7:
				le.apply(le.gate.Withdraw(types.WorkID(rapid.IntRange(0, step+1).Draw(t, "withdrawn")), le.now))
			default:
				le.advance(time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * time.Millisecond)
			}
			if le.gate.Queued() > 2*queue {
				t.Fatalf("%d works wait", le.gate.Queued())
			}
			for id, deadline := range deadlines {
				if _, ok := le.decided[id]; !ok && le.now.After(deadline) {
					t.Fatalf("work %d is undecided after its deadline", id)
				}
			}
		}
		le.apply(le.gate.Clear(fault.New(fault.Closed, "the upstream is leaving")))
		if len(le.decided) != len(deadlines) {
			t.Fatalf("%d of %d works were decided", len(le.decided), len(deadlines))
		}
	})
}
