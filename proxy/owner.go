package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// Owner runs jobs on the local upstream as the reducer admits them.
type Owner struct {
	// Post hands an event to the reducer.
	post func(types.Event)
	// load returns the load of the local upstream.
	load    func() route.Load
	now     func() time.Time
	maxBody int64
	meters  Meters
	dialect Dialect
	// openEnded takes answers that end with their connection.
	openEnded bool
	link      *Link
	target    atomic.Pointer[upstream]
	nextID    atomic.Uint64
	jobs      *openSet[types.WorkID, *openJob]
}

// openJob is a job that waits for its answer or keeps it for others.
type openJob struct {
	job    Job
	reply  chan Reply
	ctx    context.Context
	cancel context.CancelFunc
	// result is the upstream's answer to a keyed job.
	result atomic.Pointer[Reply]
}

// answer gives the job its reply; later ones are ignored.
func (oj *openJob) answer(reply Reply) {
	select {
	case oj.reply <- reply:
	default:
	}
}

// OwnerOption changes a setting of an owner.
type OwnerOption func(*Owner)

// WithMaxBody sets the greatest size of a body in bytes.
func WithMaxBody(limit int64) OwnerOption {
	return func(ow *Owner) { ow.maxBody = limit }
}

// NewOwner returns an owner without an upstream.
func NewOwner(post func(types.Event), load func() route.Load, now func() time.Time, opts ...OwnerOption) *Owner {
	ow := &Owner{
		post: post, load: load, now: now,
		maxBody: defaultMaxBody, meters: noMeters(), dialect: OwnDialect(), link: &Link{}, jobs: newOpenSet[types.WorkID, *openJob](),
	}
	for _, opt := range opts {
		opt(ow)
	}
	return ow
}

// WithDialect sets how callers and upstreams spell what a call carries.
func WithDialect(dialect Dialect) OwnerOption {
	return func(ow *Owner) { ow.dialect = dialect }
}

// WithOpenEnded takes answers that have no length and end with their
// connection. The end of such an answer can't be told from a graceful cut.
func WithOpenEnded() OwnerOption {
	return func(ow *Owner) { ow.openEnded = true }
}

// WithLink sends the answers that leave the instance over a link.
func WithLink(link *Link) OwnerOption {
	return func(ow *Owner) { ow.link = link }
}

// SetUpstream sets the process that work is sent to.
func (ow *Owner) SetUpstream(process types.ProcessID, address types.Address) {
	old := ow.target.Load()
	if old != nil && old.address == address && old.process == process {
		return
	}
	ow.target.Store(&upstream{process: process, address: address})
	if old != nil {
		old.retire()
	}
}

// Do runs a job and returns how it ended. A keyed job that was sent to the
// upstream goes on when the context ends.
func (ow *Owner) Do(ctx context.Context, job Job) Reply {
	id := types.WorkID(ow.nextID.Add(1))
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), job.Deadline)
	open := &openJob{job: job, reply: make(chan Reply, 1), ctx: runCtx, cancel: cancel}
	ow.jobs.put(id, open)
	if !job.keyed() {
		defer ow.forget(id)
	}
	work := workOf(id, job)
	work.LinkWait = ow.link.Wait(ow.now())
	ow.post(admit.Arrived{Work: work})
	select {
	case reply := <-open.reply:
		return ow.withLoad(reply)
	case <-ctx.Done():
		ow.post(admit.Canceled{ID: id})
		return ow.withLoad(<-open.reply)
	}
}

func (ow *Owner) withLoad(reply Reply) Reply {
	reply.Load = ow.load()
	reply.Load.LinkWait = ow.link.Wait(ow.now())
	return reply
}

func workOf(id types.WorkID, job Job) admit.Work {
	work := admit.Work{
		ID:         id,
		Request:    job.Request,
		Entry:      job.Entry,
		Service:    job.Route.Service,
		Route:      job.Route.Name,
		Importance: job.Route.Importance,
		Idempotent: job.Route.Idempotent,
		Key:        job.Key,
		Last:       job.Last,
		Passed:     job.Passed,
		Deadline:   job.Deadline,
		Aim:        job.Aim,
	}
	if job.keyed() {
		work.Fingerprint = job.fingerprint()
	}
	return work
}

// Run carries out the effects of admission and reports whether the effect was
// one of them.
func (ow *Owner) Run(effect types.Effect) bool {
	switch ef := effect.(type) {
	case admit.Dispatch:
		if open, ok := ow.jobs.get(ef.Work.ID); ok {
			go ow.dispatch(ef.Work, open)
		}
	case admit.Refuse:
		if open, ok := ow.jobs.get(ef.Work.ID); ok {
			open.answer(refusal(ef.Err))
		}
	case admit.Abort:
		if open, ok := ow.jobs.get(ef.ID); ok {
			open.cancel()
		}
	case flow.Settle:
		if open, ok := ow.jobs.get(ef.Work); ok {
			open.answer(Reply{Verdict: ef.Verdict, Err: ef.Err, PassedOn: ef.PassedOn})
		}
	case flow.Replay:
		ow.replay(ef)
	case flow.Forget:
		ow.forget(ef.Work)
	default:
		return false
	}
	return true
}

func (ow *Owner) replay(effect flow.Replay) {
	open, ok := ow.jobs.get(effect.Work)
	if !ok {
		return
	}
	first, ok := ow.jobs.get(effect.Of)
	if !ok || first.result.Load() == nil {
		open.answer(lost(fault.New(fault.OutcomeUnknown, "the work ran and its answer is no longer kept")))
		return
	}
	reply := *first.result.Load()
	if open != first {
		reply.AtUpstream = 0
	}
	open.answer(reply)
}

func (ow *Owner) forget(id types.WorkID) {
	if open, ok := ow.jobs.remove(id); ok {
		open.cancel()
	}
}

func (ow *Owner) dispatch(work admit.Work, open *openJob) {
	start := ow.now()
	reply := ow.send(open.ctx, open.job, work.RequireEcho)
	reply.AtUpstream = ow.now().Sub(start)
	ended := admit.Ended{
		ID:      work.ID,
		Err:     reply.Err,
		Elapsed: reply.AtUpstream,
		Size:    len(reply.Answer.Body),
		Whole:   reply.Verdict == flow.Answered,

		ServerFault: reply.Answer.Status >= http.StatusInternalServerError,
	}
	switch reply.Verdict {
	case flow.Answered:
		ended.Ran = fault.Ran
	case flow.NotRun, flow.Unsent:
		ended.Ran = fault.NotRun
	default:
		ended.Ran = fault.Unknown
	}
	if work.Keyed() {
		open.result.Store(&reply)
		ow.post(ended)
		return
	}
	ow.post(ended)
	open.answer(reply)
}

// ServeHTTP takes work from other nodes.
func (ow *Owner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	start := ow.now()
	job, err := readJobHeaders(request.Header, ow.now())
	if err != nil {
		ow.writeReply(request.Context(), writer, types.RequestID(request.Header.Get(HeaderRequestID)), refusal(fault.From(err)))
		return
	}
	job.Body, err = readBody(request.Body, ow.maxBody)
	if err != nil {
		ow.writeReply(request.Context(), writer, job.Request, refusal(bodyFault(err)))
		return
	}
	reply := ow.doWithHeartbeat(request.Context(), writer, job)
	reply.AtOwner = ow.now().Sub(start)
	ow.writeReply(request.Context(), writer, job.Request, reply)
	ow.observe(start, reply)
}

// doLocal runs a job of the entry on the same node.
func (ow *Owner) doLocal(ctx context.Context, job Job) Reply {
	start := ow.now()
	reply := ow.Do(ctx, job)
	ow.observe(start, reply)
	return reply
}

func (ow *Owner) observe(start time.Time, reply Reply) {
	if reply.Verdict == flow.Answered {
		ow.meters.OwnerResidence(ow.now().Sub(start) - reply.AtUpstream)
	}
}
