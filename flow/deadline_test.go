package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
)

// TestAttemptEndsAtDeadline ends an attempt at its call's deadline, just before the
// deadline's timer fires. If the attempt was cut off, the call must fail as
// deadline-exceeded with an unknown outcome. If the attempt was refused, the call
// must fail with the error of the refusal, which says that the work did not run.
func TestAttemptEndsAtDeadline(t *testing.T) {
	for _, test := range []struct {
		name    string
		verdict flow.Verdict
		err     *fault.Error
		want    fault.Kind
		outcome fault.Outcome
	}{
		{"cut", flow.Lost, fault.New(fault.BrokenAnswer, "wait for the upstream"), fault.DeadlineExceeded, fault.Unknown},
		{"refused", flow.NotRun, fault.New(fault.Overloaded, "full"), fault.Overloaded, fault.NotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			deadline := h.now.Add(time.Second)
			call := flow.Call{ID: 1, Deadline: deadline, Route: conf.Route{Name: "status", Service: "job-status", Idempotent: true}}
			is.Equal(countStarts(h.table.Begin(call, h.now)), 1)
			effects := h.table.HandleAttemptEnded(flow.AttemptEnded{Call: 1, Attempt: 1, Verdict: test.verdict, Err: test.err}, deadline)
			var failed *fault.Error
			for _, effect := range effects {
				if fail, ok := effect.(flow.Fail); ok {
					failed = fail.Err
				}
			}
			is.True(failed != nil)
			is.Equal(failed.Kind, test.want)
			is.Equal(failed.Outcome, test.outcome)
		})
	}
}
