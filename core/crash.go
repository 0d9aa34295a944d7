package core

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/route"
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
	// abandonedTime is how long a run that this node broke off may still be what ends the
	// upstream's process, and maxAbandoned the number of such runs that are kept.
	abandonedTime = time.Second
	maxAbandoned  = 64
	// maxToldFirst is the number of owners of the same service that are told of an end
	// before other nodes.
	maxToldFirst = 16
)

// endedRun is a work item that the upstream's process ran, or may have run, when it ended.
type endedRun struct {
	request   types.RequestID
	content   types.ContentHash
	startedAt time.Time
	// lostAt is when this node got no more answer to wait for.
	lostAt time.Time
}

// lostRuns is the work that got no answer from the upstream.
type lostRuns struct {
	// ended broke off with the end of the upstream's process, since endedAt.
	ended   []endedRun
	endedAt time.Time
	// abandoned was given up by this node, the latest at the end.
	abandoned []endedRun
}

// HoldLifted reports that an operator lifts the hold of a request.
type HoldLifted struct{ Content types.ContentHash }

// Event implements types.Event.
func (HoldLifted) Event() {}

// Holds returns the requests that are held back, because they end the upstreams that run
// them.
func (st *State) Holds(now time.Time) []blame.Hold { return st.blame.Holds(now) }

// StoredCrashes returns the evidence that this node's record on the platform is to hold.
func (st *State) StoredCrashes(now time.Time) []blame.StoredCrash { return st.blame.Stored(now) }

// recordRun notes how a run at the upstream ended: with the request's end, with that of
// the upstream's process, or given up by this node.
func (st *State) recordRun(event admit.Ended, now time.Time) []types.Effect {
	work, startedAt, running := st.admission.RunningSince(event.ID)
	if !running {
		return nil
	}
	if event.Complete && event.Outcome == fault.Ran {
		return st.blameChanged(st.blame.RecordFinished(work.Content, now), nil, now)
	}
	run := endedRun{request: work.Request, content: work.Content, startedAt: startedAt, lostAt: now}
	switch {
	case event.UpstreamEnded:
		return st.upstreamEnding([]endedRun{run}, now)
	case event.Outcome != fault.NotRun:
		st.lost.abandoned = append(st.lost.abandoned, run)
		st.lost.abandoned = st.lost.abandoned[max(0, len(st.lost.abandoned)-maxAbandoned):]
		detail := fmt.Sprintf("%v; after %s, %s before its deadline", event.Err, event.Elapsed.Round(time.Millisecond), work.Deadline.Sub(now).Round(time.Millisecond))
		return []types.Effect{trace.Event{Kind: trace.WorkBrokenOff, Request: work.Request, Subject: work.EntryNode, Detail: detail}}
	case event.Err != nil && event.Err.Kind == fault.Unreachable:
		return st.upstreamEnding(nil, now)
	}
	return nil
}

// upstreamEnding adds runs to those with which the upstream's process ended. A process
// that had announced that it leaves was stopped on purpose.
func (st *State) upstreamEnding(runs []endedRun, now time.Time) []types.Effect {
	if !st.upstream.known || st.upstream.announcement.Leaving {
		return nil
	}
	lost := &st.lost
	first := len(lost.ended) == 0
	for _, run := range lost.abandoned {
		if now.Sub(run.lostAt) <= abandonedTime {
			lost.ended = append(lost.ended, run)
		}
	}
	lost.abandoned = nil
	lost.ended = append(lost.ended, runs...)
	if !first || len(lost.ended) == 0 {
		return nil
	}
	lost.endedAt = now
	return []types.Effect{types.SetTimer{Timer: types.Timer{Kind: types.UpstreamEndSettled}, At: now.Add(settleTime)}}
}

// upstreamEndSettled records which work ran when the upstream's process ended. The owners
// of the service's other upstreams are told first: they are the next that may run it.
func (st *State) upstreamEndSettled(now time.Time) []types.Effect {
	ended, endedAt := st.lost.ended, st.lost.endedAt
	st.lost.ended = nil
	if len(ended) == 0 {
		return nil
	}
	runs := make([]blame.Run, 0, len(ended))
	for _, run := range ended {
		runs = append(runs, blame.Run{Content: run.content, Elapsed: max(0, endedAt.Sub(run.startedAt))})
	}
	event := trace.Event{Kind: trace.UpstreamEnded, Subject: st.fleet.Self().ID, Detail: describeRuns(ended, endedAt)}
	owners := st.fleet.ServiceOwners(st.upstream.announcement.Service)
	return append([]types.Effect{event}, st.blameChanged(st.blame.RecordCrash(runs, endedAt, now), owners[:min(len(owners), maxToldFirst)], now)...)
}

// evidenceReceived merges the evidence of another node.
func (st *State) evidenceReceived(report blame.Report, now time.Time) []types.Effect {
	return st.blameChanged(st.blame.Merge(report, now), nil, now)
}

func (st *State) holdLifted(content types.ContentHash, now time.Time) []types.Effect {
	changes, _ := st.blame.Lift(content, now)
	return st.blameChanged(changes, nil, now)
}

// blameChanged carries out changes of what is held back. New evidence is spread, to the
// nodes in first before others.
func (st *State) blameChanged(changes blame.Changes, first []fleet.Member, now time.Time) []types.Effect {
	var effects []types.Effect
	for _, hold := range changes.Held {
		detail := fmt.Sprintf("content %s ended %d upstreams of %d instances, held until %s", hold.Content, hold.Crashes, hold.Instances, hold.Until.UTC().Format(time.RFC3339))
		effects = append(effects, trace.Event{Kind: trace.RequestHeld, Subject: st.fleet.Self().ID, Detail: detail})
		match := func(work admit.WorkItem) bool { return work.Content == hold.Content }
		effects = append(effects, st.admission.RefuseMatching(match, newHeldError("the request", hold, now))...)
	}
	for _, content := range changes.Released {
		effects = append(effects, trace.Event{Kind: trace.RequestReleased, Subject: st.fleet.Self().ID, Detail: "content " + content.String()})
	}
	if changes.News {
		effects = append(effects, st.fleet.Spread(first)...)
	}
	return effects
}

// newHeldError returns the error with which a request is refused that ends the upstreams
// which run it.
func newHeldError(name string, hold blame.Hold, now time.Time) *fault.Error {
	return fault.New(fault.Held, "%s, content %s, ended %d upstreams that ran it", name, hold.Content, hold.Crashes).WithRetryAfter(hold.Until.Sub(now))
}

func newTrialError(name string, content types.ContentHash, trial blame.Trial, now time.Time) *fault.Error {
	return fault.New(fault.Closed, "%s, content %s, ran at %d upstreams that ended", name, content, trial.Crashes).WithRetryAfter(trial.Next.Sub(now))
}

// blameError returns the error with which the entry refuses a request that no owner may
// run now, because it ends upstreams or may do so. It returns nil for any other request.
func (st *State) blameError(target route.Request, content types.ContentHash, now time.Time) *fault.Error {
	if hold, ok := st.blame.Held(content, now); ok {
		return newHeldError(target.Method+" "+target.Path, hold, now)
	}
	if trial, ok := st.blame.Trial(content, now); ok && trial.Turn < 0 {
		return newTrialError(target.Method+" "+target.Path, content, trial, now)
	}
	return nil
}

// suspectError returns the error with which a request that may end upstreams is not run
// now: it is on trial and it is another owner's turn or the request runs already, or this
// upstream runs another request which may have ended the same upstreams.
func (st *State) suspectError(work admit.WorkItem, now time.Time) *fault.Error {
	trial, ok := st.blame.Trial(work.Content, now)
	same := func(other admit.WorkItem) bool { return other.Content == work.Content }
	if ok && (st.tester(work.Service, work.Content, trial) != st.fleet.Self().ID || st.admission.Contains(same)) {
		return newTrialError("the request", work.Content, trial, now)
	}
	rival := func(other admit.WorkItem) bool { return st.blame.Rivals(work.Content, other.Content) }
	if st.blame.Undecided() && st.admission.Contains(rival) {
		return fault.New(fault.Closed, "another request runs that may have ended the same upstreams").WithRetryAfter(defaultRetryAfter)
	}
	return nil
}

// tester returns the owner whose turn it is to run a request on trial, or "" if it is
// nobody's.
func (st *State) tester(service types.ServiceName, content types.ContentHash, trial blame.Trial) types.InstanceID {
	owners := slices.Clone(st.fleet.ServiceOwners(service))
	if trial.Turn < 0 || len(owners) == 0 {
		return ""
	}
	rank := func(owner fleet.Member) uint64 { return xxhash.Sum64String(content.String() + string(owner.ID)) }
	slices.SortFunc(owners, func(a, b fleet.Member) int { return cmp.Compare(rank(a), rank(b)) })
	return owners[trial.Turn%len(owners)].ID
}

// addEvidence adds evidence to the messages among the effects: what this node has learned
// lately, or all of it in the reply to a node that knows other evidence.
func (st *State) addEvidence(effects []types.Effect, event types.Event, now time.Time) []types.Effect {
	for i, effect := range effects {
		switch ef := effect.(type) {
		case fleet.SendExchange:
			ef.Message.Blame = st.blame.Fresh(now)
			effects[i] = ef
		case fleet.ReplyExchange:
			ef.Message.Blame = st.blame.Fresh(now)
			if received, ok := event.(fleet.ExchangeReceived); ok && received.Message.Blame.Hash != st.blame.Hash() {
				ef.Message.Blame = st.blame.Full(now)
			}
			effects[i] = ef
		}
	}
	return effects
}

func describeRuns(runs []endedRun, endedAt time.Time) string {
	listed := make([]string, 0, maxLoggedRuns)
	for _, run := range runs[:min(len(runs), maxLoggedRuns)] {
		listed = append(listed, fmt.Sprintf("%s content %s after %s", run.request, run.content, endedAt.Sub(run.startedAt).Round(time.Millisecond)))
	}
	return fmt.Sprintf("while it ran %d requests: %s", len(runs), strings.Join(listed, ", "))
}
