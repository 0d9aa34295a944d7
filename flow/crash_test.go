package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
)

// TestCallEndsNoMoreThanTwoUpstreams checks that a call during whose attempts two
// upstreams ended gets no third attempt.
func TestCallEndsNoMoreThanTwoUpstreams(t *testing.T) {
	check := is.New(t)
	h := newHarness()
	call := flow.Call{ID: 1, Deadline: h.now.Add(time.Minute), Route: conf.Route{Name: "status", Service: "job-status", Idempotent: true}}
	effects := h.table.Begin(call, h.now)
	for attempt := 1; countStarts(effects) > 0; attempt++ {
		h.attempts++
		effects = h.table.HandleAttemptEnded(flow.AttemptEnded{
			Call: 1, Attempt: attempt, Verdict: flow.Lost, Err: fault.New(fault.BrokenAnswer, "EOF"), UpstreamEnded: true,
		}, h.now)
	}
	check.Equal(h.attempts, 2)
	check.Equal(h.table.Len(), 0)
}
