package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/memory"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// Owner runs jobs on the local upstream. It sends a job to the upstream when
// admission control dispatches the job. As an HTTP handler, Owner serves the jobs
// that other nodes forward.
type Owner struct {
	// post delivers an event to the node's event loop.
	post func(types.Event)
	// load returns the load of the local upstream.
	load    func() route.Load
	now     func() time.Time
	maxBody int64
	metrics Metrics
	dialect Dialect
	// closeDelimited is true if responses without a length, which end when the
	// connection closes, are accepted.
	closeDelimited bool
	pacer          *Pacer
	answers        bodyGate
	budget         *memory.Budget
	localUpstream  atomic.Pointer[upstream]
	nextID         atomic.Uint64
	jobs           *lockedMap[types.WorkID, *pendingJob]
}

// pendingJob is a job that waits for its result, or that ran and whose result is
// kept to answer retries with the same idempotency key.
type pendingJob struct {
	keyed bool
	mu    sync.Mutex
	// job is guarded by mu. If it is keyed, it has a use of its room, and it is empty once
	// it has run or is deleted.
	job    Job
	done   chan Result
	ctx    context.Context
	cancel context.CancelFunc
	// result is the result of a keyed job, once its exchange with the upstream
	// has ended.
	result atomic.Pointer[Result]
}

// useJob returns the job with a use of its room, which the caller must release.
func (pj *pendingJob) useJob() Job {
	pj.mu.Lock()
	defer pj.mu.Unlock()
	job := pj.job
	job.Room = job.Room.Share()
	return job
}

// dropJob drops a keyed job, of which only the result is needed from then on.
func (pj *pendingJob) dropJob() {
	if !pj.keyed {
		return
	}
	pj.mu.Lock()
	defer pj.mu.Unlock()
	pj.job.Room.Release()
	pj.job = Job{}
}

// complete delivers the result of the job. Only the first call has an effect.
func (pj *pendingJob) complete(result Result) {
	select {
	case pj.done <- result:
	default:
	}
}

// OwnerOption changes a setting of an owner.
type OwnerOption func(*Owner)

// WithMaxBody sets the greatest size in bytes of a request or response body.
func WithMaxBody(limit int64) OwnerOption {
	return func(ow *Owner) { ow.maxBody = limit }
}

// NewOwner returns an owner that has no upstream until SetUpstream is called.
func NewOwner(post func(types.Event), load func() route.Load, now func() time.Time, opts ...OwnerOption) *Owner {
	ow := &Owner{
		post: post, load: load, now: now,
		maxBody: defaultMaxBody, metrics: noMetrics(), dialect: DefaultDialect(), pacer: &Pacer{}, jobs: newLockedMap[types.WorkID, *pendingJob](),
	}
	for _, opt := range opts {
		opt(ow)
	}
	if ow.budget == nil {
		ow.budget = memory.NewBudget(DefaultBodyMemory(ow.maxBody))
	}
	ow.answers = newBodyGate(ow.budget.Limit() / answerPart)
	return ow
}

// WithBudget sets the memory for the bodies of requests that callers and other nodes send.
// The default has DefaultBodyMemory bytes.
func WithBudget(budget *memory.Budget) OwnerOption {
	return func(ow *Owner) { ow.budget = budget }
}

// WithDialect sets the header conventions used with callers and upstreams.
func WithDialect(dialect Dialect) OwnerOption {
	return func(ow *Owner) { ow.dialect = dialect }
}

// WithCloseDelimited accepts responses that state no length and end when the
// upstream closes the connection. If the upstream closes it early but
// gracefully, the truncation goes undetected.
func WithCloseDelimited() OwnerOption {
	return func(ow *Owner) { ow.closeDelimited = true }
}

// WithPacer sets the pacer of the answers that leave the instance. Without this
// option, the bandwidth is not limited.
func WithPacer(pacer *Pacer) OwnerOption {
	return func(ow *Owner) { ow.pacer = pacer }
}

// SetUpstream sets the process that jobs are sent to, and its address. If either
// differs from the current one, the idle connections to the old upstream are
// closed.
func (ow *Owner) SetUpstream(process types.ProcessID, address types.Address) {
	old := ow.localUpstream.Load()
	if old != nil && old.address == address && old.process == process {
		return
	}
	ow.localUpstream.Store(&upstream{process: process, address: address})
	if old != nil {
		old.retire()
	}
}

// Do runs a job and returns its result. When ctx ends, a keyed job that was
// already sent to the upstream continues to run, so that its result can answer a
// retry with the same key.
func (ow *Owner) Do(ctx context.Context, job Job) Result {
	id := types.WorkID(ow.nextID.Add(1))
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), job.Deadline)
	pending := &pendingJob{keyed: job.keyed(), job: job, done: make(chan Result, 1), ctx: runCtx, cancel: cancel}
	if pending.keyed {
		pending.job.Room = job.Room.Share()
	}
	ow.jobs.put(id, pending)
	if !pending.keyed {
		defer ow.deleteJob(id)
	}
	work := newWorkItem(id, job)
	work.LinkWait = ow.pacer.Wait(ow.now())
	ow.post(admit.Arrived{Work: work})
	select {
	case result := <-pending.done:
		return ow.withLoad(result)
	case <-ctx.Done():
		ow.post(admit.Canceled{ID: id})
		return ow.withLoad(<-pending.done)
	}
}

// withLoad adds the current load of the local upstream to a result.
func (ow *Owner) withLoad(result Result) Result {
	result.Load = ow.load()
	result.Load.LinkWait = ow.pacer.Wait(ow.now())
	return result
}

func newWorkItem(id types.WorkID, job Job) admit.WorkItem {
	work := admit.WorkItem{
		ID:            id,
		Request:       job.Request,
		EntryNode:     job.EntryNode,
		Service:       job.Route.Service,
		Route:         job.Route.Name,
		Importance:    job.Route.Importance,
		Idempotent:    job.Route.Idempotent,
		Key:           job.Key,
		LastOwner:     job.LastOwner,
		KeyDeclinedBy: job.KeyDeclinedBy,
		Content:       job.Content,
		Team:          job.Team,
		CostFactor:    job.CostFactor,
		Deadline:      job.Deadline,
		SoftDeadline:  job.SoftDeadline,
	}
	if job.keyed() {
		work.Fingerprint = job.fingerprint()
	}
	return work
}

// Apply carries out an effect of admission control, or of the ledger of
// idempotency keys. It reports whether it handles effects of this type.
func (ow *Owner) Apply(effect types.Effect) bool {
	switch ef := effect.(type) {
	case admit.Dispatch:
		if pending, ok := ow.jobs.get(ef.Work.ID); ok {
			go ow.dispatch(ef.Work, pending, pending.useJob())
		}
	case admit.Refuse:
		if pending, ok := ow.jobs.get(ef.Work.ID); ok {
			pending.complete(notRunResult(ef.Err))
		}
	case admit.Abort:
		if pending, ok := ow.jobs.get(ef.ID); ok {
			pending.cancel()
		}
	case flow.Settle:
		if pending, ok := ow.jobs.get(ef.Work); ok {
			pending.complete(Result{Verdict: ef.Verdict, Err: ef.Err, KeyDeclined: ef.KeyDeclined})
		}
	case flow.Replay:
		ow.replay(ef)
	case flow.DeleteWork:
		ow.deleteJob(ef.Work)
	default:
		return false
	}
	return true
}

// replay answers a job with the stored result of the job that ran under the same
// idempotency key. The two may be the same job. If the result is no longer kept,
// the outcome that replay reports is unknown.
func (ow *Owner) replay(effect flow.Replay) {
	pending, ok := ow.jobs.get(effect.Work)
	if !ok {
		return
	}
	original, ok := ow.jobs.get(effect.Of)
	if !ok || original.result.Load() == nil {
		pending.complete(unknownOutcomeResult(fault.New(fault.OutcomeUnknown, "the work ran and its answer is no longer kept")))
		return
	}
	result := *original.result.Load()
	if pending != original {
		result.AtUpstream = 0
	}
	pending.complete(result)
}

func (ow *Owner) deleteJob(id types.WorkID) {
	if pending, ok := ow.jobs.remove(id); ok {
		pending.cancel()
		pending.dropJob()
	}
}

// dispatch sends a job to the upstream and releases its use of the job's room.
func (ow *Owner) dispatch(work admit.WorkItem, pending *pendingJob, job Job) {
	defer job.Room.Release()
	start := ow.now()
	job.Deadline = work.Deadline
	ctx, cancel := context.WithDeadline(pending.ctx, work.Deadline)
	defer cancel()
	result := ow.sendToUpstream(ctx, job, work.RequireEcho)
	result.AtUpstream, result.Lasting = ow.now().Sub(start), work.Lasting
	ended := admit.Ended{
		ID:       work.ID,
		Err:      result.Err,
		Elapsed:  result.AtUpstream,
		Size:     len(result.Response.Body),
		Complete: result.Verdict == flow.Answered,
		Demand:   result.Demand,

		ServerFault:   result.Response.Status >= http.StatusInternalServerError,
		UpstreamEnded: result.UpstreamEnded,
	}
	switch result.Verdict {
	case flow.Answered:
		ended.Outcome = fault.Ran
	case flow.NotRun, flow.Unsent:
		ended.Outcome = fault.NotRun
	default:
		ended.Outcome = fault.Unknown
	}
	if work.Keyed() {
		pending.dropJob()
		pending.result.Store(&result)
		ow.post(ended)
		return
	}
	ow.post(ended)
	pending.complete(result)
}

// ServeHTTP implements http.Handler. It runs a job that another node forwarded.
func (ow *Owner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	start := ow.now()
	if request.URL.Path == CompactForwardPath {
		expand(request.Header)
	} else {
		writer.Header().Set(headerTakesCompact, SetFlag)
	}
	job, err := readJobHeaders(request.Header, ow.now())
	if err != nil {
		ow.writeResult(request.Context(), writer, types.RequestID(request.Header.Get(HeaderRequestID)), notRunResult(fault.From(err)))
		return
	}
	content, err := ow.readRequestBody(writer, request, ow.maxBody)
	if err != nil {
		writer.Header().Set("Connection", "close")
		ow.writeResult(request.Context(), writer, job.Request, ow.withLoad(notRunResult(forwardedBodyError(err))))
		return
	}
	job.Body, job.Room = content.text, content.room
	defer job.Room.Release()
	result := ow.doWithHeartbeat(request.Context(), writer, job)
	result.AtOwner = ow.now().Sub(start)
	ow.writeResult(request.Context(), writer, job.Request, result)
	ow.observeResidence(start, result)
}

// doLocal runs a job for the entry on the same node.
func (ow *Owner) doLocal(ctx context.Context, job Job) Result {
	start := ow.now()
	result := ow.Do(ctx, job)
	ow.observeResidence(start, result)
	return result
}

// observeResidence records how long an answered job spent in the owner, excluding
// the exchange with the upstream.
func (ow *Owner) observeResidence(start time.Time, result Result) {
	if result.Verdict == flow.Answered {
		ow.metrics.OwnerResidence(ow.now().Sub(start) - result.AtUpstream)
	}
}
