package core

import (
	"fmt"
	"strings"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// settleTime is how long after the first sign that the upstream's process has
	// ended the ends of its other work are gathered.
	settleTime = 50 * time.Millisecond
	// maxLoggedRuns is the maximum number of requests in the event of an upstream that
	// ended.
	maxLoggedRuns = 16
)

// endedRun is a work item whose connection the upstream's process closed when it ended.
type endedRun struct {
	request   types.RequestID
	content   types.ContentHash
	startedAt time.Time
}

// recordEndedRun notes what the upstream's process ran when it ended. A process that had
// announced that it leaves or ends was stopped on purpose.
func (st *State) recordEndedRun(event admit.Ended, now time.Time) []types.Effect {
	work, startedAt, running := st.admission.RunningSince(event.ID)
	if !event.UpstreamEnded || !running || !st.upstream.known || st.upstream.announcement.Leaving {
		return nil
	}
	st.endedRuns = append(st.endedRuns, endedRun{request: work.Request, content: work.Content, startedAt: startedAt})
	if len(st.endedRuns) > 1 {
		return nil
	}
	return []types.Effect{types.SetTimer{Timer: types.Timer{Kind: types.UpstreamEndSettled}, At: now.Add(settleTime)}}
}

// upstreamEndSettled reports which work ran when the upstream's process ended.
func (st *State) upstreamEndSettled(now time.Time) []types.Effect {
	runs := st.endedRuns
	st.endedRuns = nil
	if len(runs) == 0 {
		return nil
	}
	return []types.Effect{trace.Event{Kind: trace.UpstreamEnded, Subject: st.fleet.Self().ID, Detail: describeRuns(runs, now)}}
}

func describeRuns(runs []endedRun, now time.Time) string {
	listed := make([]string, 0, maxLoggedRuns)
	for _, run := range runs[:min(len(runs), maxLoggedRuns)] {
		listed = append(listed, fmt.Sprintf("%s content %s since %s", run.request, run.content, now.Sub(run.startedAt).Round(time.Millisecond)))
	}
	return fmt.Sprintf("while it ran %d requests: %s", len(runs), strings.Join(listed, ", "))
}
