package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// Entry takes the requests of callers.
type Entry struct {
	self    types.InstanceID
	post    func(types.Event)
	owner   *Owner
	forward *Forwarder
	now     func() time.Time
	// maxBody is the node's limit in bytes and limit that of the configuration,
	// or 0.
	maxBody int64
	limit   atomic.Int64
	nextID  atomic.Uint64
	// mu guards the attempts of each call.
	mu    sync.Mutex
	calls *openSet[types.CallID, *openCall]
}

type openCall struct {
	job      Job
	done     chan result
	first    time.Time
	attempts map[int]*openAttempt
}

type openAttempt struct {
	cancel context.CancelFunc
	answer Answer
	ended  time.Time
}

type result struct {
	answer Answer
	err    *fault.Error
	// away is the time from the first attempt to the end of the delivered one.
	away time.Duration
}

// NewEntry returns an entry that sends work to its own upstream through owner
// and to those of other nodes through forward.
func NewEntry(self types.InstanceID, post func(types.Event), owner *Owner, forward *Forwarder, now func() time.Time) *Entry {
	return &Entry{
		self: self, post: post, owner: owner, forward: forward, now: now,
		maxBody: owner.maxBody, calls: newOpenSet[types.CallID, *openCall](),
	}
}

// ServeHTTP answers one request of a caller.
func (en *Entry) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	start := en.now()
	job, limit, err := en.readCall(request)
	if err != nil {
		en.dialect().WriteFault(writer, job.Request, err)
		return
	}
	id := types.CallID(en.nextID.Add(1))
	open := &openCall{job: job, done: make(chan result, 1), attempts: map[int]*openAttempt{}}
	en.calls.put(id, open)
	defer en.calls.remove(id)
	path, _, _ := strings.Cut(job.URI, "?")
	target := route.Request{Method: request.Method, Host: request.Host, Path: path}
	en.post(flow.CallArrived{Call: id, Request: job.Request, Key: job.Key, Target: target, Limit: limit})
	select {
	case end := <-open.done:
		en.write(request.Context(), writer, job, end)
		if end.err == nil {
			en.owner.meters.EntryResidence(en.now().Sub(start) - end.away)
		}
	case <-request.Context().Done():
		en.post(flow.CallCanceled{Call: id})
	}
}

func (en *Entry) dialect() *Dialect { return &en.owner.dialect }

func (en *Entry) readCall(request *http.Request) (Job, types.Option[time.Duration], *fault.Error) {
	job := Job{Entry: en.self, Method: request.Method, URI: uriOf(request), Host: request.Host, Header: request.Header}
	tunnel := refuseTunnel(request)
	stripHopHeaders(job.Header)
	head, err := en.dialect().ReadCall(request)
	stripOwnHeaders(job.Header)
	job.Request, job.Key = head.Request, head.Key
	if err == nil {
		err = tunnel
	}
	if err != nil {
		return job, head.Limit, err
	}
	if job.Header.Get("User-Agent") == "" {
		job.Header["User-Agent"] = []string{""}
	}
	body, readErr := readBody(request.Body, en.bodyLimit())
	if readErr != nil {
		return job, head.Limit, bodyFault(readErr)
	}
	job.Body = body
	return job, head.Limit, nil
}

// LimitBody sets the greatest size of a caller's body in bytes, below that of
// the node; 0 leaves it at that.
func (en *Entry) LimitBody(limit int64) { en.limit.Store(limit) }

func (en *Entry) bodyLimit() int64 {
	if limit := en.limit.Load(); limit > 0 {
		return min(limit, en.maxBody)
	}
	return en.maxBody
}

// uriOf returns the path and query as the caller sent them.
func uriOf(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

// refuseTunnel returns an error for requests that ask for another protocol.
func refuseTunnel(request *http.Request) *fault.Error {
	upgrade := request.Header.Get("Upgrade")
	if request.Method == http.MethodConnect {
		return fault.New(fault.InvalidInput, "the method CONNECT is not supported")
	}
	if upgrade != "" && upgrade != "h2c" {
		return fault.New(fault.InvalidInput, "the upgrade to %q is not supported", upgrade)
	}
	return nil
}

// Run carries out the effects of calls and reports whether the effect was one
// of them.
func (en *Entry) Run(effect types.Effect) bool {
	switch ef := effect.(type) {
	case flow.StartAttempt:
		en.start(ef)
	case flow.CancelAttempt:
		en.cancel(ef)
	case flow.Deliver:
		en.deliver(ef)
	case flow.Fail:
		if open, ok := en.calls.get(ef.Call); ok {
			open.done <- result{err: ef.Err}
		}
	default:
		return false
	}
	return true
}

func (en *Entry) start(effect flow.StartAttempt) {
	open, ok := en.calls.get(effect.Call)
	if !ok {
		return
	}
	job := open.job
	job.Route = effect.Route
	job.Deadline = effect.Deadline
	job.Aim = effect.Aim
	job.Key = effect.Key
	job.Last = effect.Last
	job.Passed = effect.Passed
	ctx, cancel := context.WithDeadline(context.Background(), effect.Deadline)
	en.mu.Lock()
	if len(open.attempts) == 0 {
		open.first = en.now()
	}
	open.attempts[effect.Attempt] = &openAttempt{cancel: cancel}
	en.mu.Unlock()
	go en.attempt(ctx, open, effect, job)
}

func (en *Entry) attempt(ctx context.Context, open *openCall, effect flow.StartAttempt, job Job) {
	start := en.now()
	var reply Reply
	if effect.Target.Local {
		reply = en.owner.doLocal(ctx, job)
	} else {
		reply = en.forward.Do(ctx, effect.Target.Address, job)
	}
	ended := en.now()
	if !effect.Target.Local && reply.Verdict == flow.Answered {
		en.owner.meters.Hop(ended.Sub(start) - reply.AtOwner)
	}
	en.mu.Lock()
	attempt := open.attempts[effect.Attempt]
	attempt.answer = reply.Answer
	attempt.ended = ended
	attempt.cancel()
	en.mu.Unlock()
	en.post(flow.AttemptEnded{
		Call:     effect.Call,
		Attempt:  effect.Attempt,
		Verdict:  reply.Verdict,
		Err:      reply.Err,
		Load:     reply.Load,
		PassedOn: reply.PassedOn,
		Reached:  reply.Reached,
		Elapsed:  ended.Sub(start),
		Size:     len(reply.Answer.Body),

		ServerFault: reply.Answer.Status >= http.StatusInternalServerError,
	})
}

func (en *Entry) cancel(effect flow.CancelAttempt) {
	open, ok := en.calls.get(effect.Call)
	if !ok {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if attempt, ok := open.attempts[effect.Attempt]; ok {
		attempt.cancel()
	}
}

func (en *Entry) deliver(effect flow.Deliver) {
	open, ok := en.calls.get(effect.Call)
	if !ok {
		return
	}
	en.mu.Lock()
	attempt := open.attempts[effect.Attempt]
	end := result{answer: attempt.answer, away: attempt.ended.Sub(open.first)}
	en.mu.Unlock()
	open.done <- end
}

func (en *Entry) write(ctx context.Context, writer http.ResponseWriter, job Job, end result) {
	if end.err != nil {
		en.dialect().WriteFault(writer, job.Request, end.err)
		return
	}
	answer := end.answer
	header := writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	en.dialect().WriteAnswer(header, job.Request)
	if hasBody(job.Method, answer.Status) {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	if length, ok := answer.Length.Get(); ok {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	writer.WriteHeader(answer.Status)
	if !hasBody(job.Method, answer.Status) {
		return
	}
	if en.owner.link.write(ctx, writer, answer.Body, en.now) != nil {
		panic(http.ErrAbortHandler)
	}
}
