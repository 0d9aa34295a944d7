package proxy

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
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
	target  atomic.Pointer[target]
	nextID  atomic.Uint64
	mu      sync.Mutex
	jobs    map[types.WorkID]*openJob
}

type target struct {
	address types.Address
	client  *http.Client
}

type openJob struct {
	job    Job
	reply  chan Reply
	ctx    context.Context
	cancel context.CancelFunc
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
		maxBody: defaultMaxBody, meters: noMeters(), jobs: map[types.WorkID]*openJob{},
	}
	for _, opt := range opts {
		opt(ow)
	}
	return ow
}

// SetUpstream sets the address of the local upstream and its connections.
func (ow *Owner) SetUpstream(address types.Address, connections int) {
	old := ow.target.Load()
	if old != nil && old.address == address {
		return
	}
	transport := &http.Transport{
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}
	ow.target.Store(&target{address: address, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}})
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do runs a job and returns how it ended.
func (ow *Owner) Do(ctx context.Context, job Job) Reply {
	id := types.WorkID(ow.nextID.Add(1))
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), job.Deadline)
	defer cancel()
	open := &openJob{job: job, reply: make(chan Reply, 1), ctx: runCtx, cancel: cancel}
	ow.put(id, open)
	defer ow.remove(id)
	ow.post(admit.Arrived{Work: workOf(id, job)})
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
	return reply
}

func workOf(id types.WorkID, job Job) admit.Work {
	return admit.Work{
		ID:         id,
		Request:    job.Request,
		Entry:      job.Entry,
		Service:    job.Route.Service,
		Route:      job.Route.Name,
		Importance: job.Route.Importance,
		Idempotent: job.Route.Idempotent,
		Key:        job.Key,
		Deadline:   job.Deadline,
	}
}

// Run carries out the effects of admission and reports whether the effect was
// one of them.
func (ow *Owner) Run(effect types.Effect) bool {
	switch ef := effect.(type) {
	case admit.Dispatch:
		if open, ok := ow.get(ef.Work.ID); ok {
			go ow.dispatch(ef.Work.ID, open)
		}
	case admit.Refuse:
		if open, ok := ow.get(ef.Work.ID); ok {
			open.reply <- refusal(ef.Err)
		}
	case admit.Abort:
		if open, ok := ow.get(ef.ID); ok {
			open.cancel()
		}
	default:
		return false
	}
	return true
}

func (ow *Owner) put(id types.WorkID, open *openJob) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.jobs[id] = open
}

func (ow *Owner) get(id types.WorkID) (*openJob, bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	open, ok := ow.jobs[id]
	return open, ok
}

func (ow *Owner) remove(id types.WorkID) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	delete(ow.jobs, id)
}

func (ow *Owner) dispatch(id types.WorkID, open *openJob) {
	start := ow.now()
	reply := ow.send(open.ctx, open.job)
	reply.AtUpstream = ow.now().Sub(start)
	ended := admit.Ended{ID: id, Elapsed: reply.AtUpstream, Whole: reply.Verdict == flow.Answered}
	switch reply.Verdict {
	case flow.Answered:
		ended.Ran = fault.Ran
	case flow.Lost:
		ended.Ran = fault.Unknown
	case flow.NotRun:
		ended.Ran = fault.NotRun
	}
	ow.post(ended)
	open.reply <- reply
}

func (ow *Owner) send(ctx context.Context, job Job) Reply {
	upstream := ow.target.Load()
	if upstream == nil {
		return refusal(fault.New(fault.NoUpstream, "the node owns no upstream"))
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	request, err := upstreamRequest(ctx, upstream.address, job, ow.now())
	if err != nil {
		return refusal(fault.Wrap(fault.InvalidInput, err, "make the upstream's request"))
	}
	response, err := upstream.client.Do(request)
	if err != nil && !sent.Load() {
		return refusal(fault.Wrap(fault.Unreachable, err, "connect to the upstream"))
	}
	if err != nil {
		return lost(fault.Wrap(fault.BrokenAnswer, err, "wait for the upstream"))
	}
	defer func() { _ = response.Body.Close() }()
	return ow.readAnswer(response, job)
}

func upstreamRequest(ctx context.Context, address types.Address, job Job, now time.Time) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, job.Method, "http://"+string(address)+job.URI, nil)
	if err != nil {
		return nil, err
	}
	request.Body = onceBody{bytes.NewReader(job.Body)}
	request.ContentLength = int64(len(job.Body))
	request.GetBody = nil
	request.Header = stripHopHeaders(job.Header)
	request.Host = job.Host
	request.Header.Set(HeaderRequestID, string(job.Request))
	request.Header.Set(HeaderTimeLeft, formatMicros(job.Deadline.Sub(now)))
	return request, nil
}

func (ow *Owner) readAnswer(response *http.Response, job Job) Reply {
	echo := response.Header.Get(HeaderRequestID)
	if echo != "" && echo != string(job.Request) {
		return lost(fault.New(fault.BrokenAnswer, "the upstream answered the request %q", echo))
	}
	body, err := readBody(response.Body, ow.maxBody)
	if err != nil {
		return lost(fault.Wrap(fault.BrokenAnswer, err, "read the upstream's answer"))
	}
	answer := Answer{Status: response.StatusCode, Header: stripOwnHeaders(response.Header), Body: body}
	return Reply{Verdict: flow.Answered, Answer: answer}
}

// ServeHTTP takes work from other nodes.
func (ow *Owner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	start := ow.now()
	job, err := readJobHeaders(request.Header, ow.now())
	if err != nil {
		writeReply(writer, types.RequestID(request.Header.Get(HeaderRequestID)), refusal(fault.From(err)))
		return
	}
	job.Body, err = readBody(request.Body, ow.maxBody)
	if err != nil {
		writeReply(writer, job.Request, refusal(fault.Wrap(fault.InvalidInput, err, "read the forwarded call")))
		return
	}
	reply := ow.doWithHeartbeat(request.Context(), writer, job)
	reply.AtOwner = ow.now().Sub(start)
	writeReply(writer, job.Request, reply)
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
