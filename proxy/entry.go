package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sequoiamill.example/sequoiamill/cost"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// Entry is the HTTP handler for the requests of callers. It starts and cancels
// the attempts at each call as the node's event loop decides.
type Entry struct {
	// self is the instance ID of this node.
	self types.InstanceID
	// post delivers an event to the node's event loop.
	post      func(types.Event)
	owner     *Owner
	forwarder *Forwarder
	now       func() time.Time
	// maxBody is the node's own limit on the size of a request body in bytes.
	// configMaxBody is the limit in the published configuration; 0 means that
	// the configuration sets no limit. The lower of the two limits applies.
	maxBody       int64
	configMaxBody atomic.Int64
	// teams is true if the configuration has teams.
	teams  atomic.Bool
	nextID atomic.Uint64
	// mu guards the fields firstStart and attempts of every pendingCall.
	mu    sync.Mutex
	calls *lockedMap[types.CallID, *pendingCall]
}

// pendingCall is a call whose caller still waits for the answer.
type pendingCall struct {
	job  Job
	done chan callResult
	// firstStart is when the first attempt started.
	firstStart time.Time
	attempts   map[int]*pendingAttempt
}

type pendingAttempt struct {
	cancel   context.CancelFunc
	response Response
	ended    time.Time
}

// callResult is what the caller gets: an answer, or an error.
type callResult struct {
	response Response
	err      *fault.Error
	// attemptsTime is the time from the start of the first attempt to the end
	// of the attempt whose answer is delivered.
	attemptsTime time.Duration
}

// NewEntry returns an entry that runs jobs on the local upstream through owner
// and on the upstreams of other nodes through forwarder.
func NewEntry(self types.InstanceID, post func(types.Event), owner *Owner, forwarder *Forwarder, now func() time.Time) *Entry {
	return &Entry{
		self: self, post: post, owner: owner, forwarder: forwarder, now: now,
		maxBody: owner.maxBody, calls: newLockedMap[types.CallID, *pendingCall](),
	}
}

// ServeHTTP implements http.Handler. It answers one request of a caller.
func (en *Entry) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	start := en.now()
	job, limit, err := en.readCall(writer, request)
	if err != nil {
		en.dialect().WriteFault(writer, job.Request, err)
		return
	}
	defer job.Room.Release()
	id := types.CallID(en.nextID.Add(1))
	pending := &pendingCall{job: job, done: make(chan callResult, 1), attempts: map[int]*pendingAttempt{}}
	en.calls.put(id, pending)
	defer en.calls.remove(id)
	features := cost.Describe(job.Method, job.URI, len(job.Body))
	en.post(flow.CallArrived{
		Call: id, Request: job.Request, Content: job.Content, Features: features, Key: job.Key,
		Target: TargetOf(request), Limit: limit, Credential: job.Credential,
	})
	select {
	case res := <-pending.done:
		en.writeResponse(request.Context(), writer, job, res)
		if res.err == nil {
			en.owner.metrics.EntryResidence(en.now().Sub(start) - res.attemptsTime)
		}
	case <-request.Context().Done():
		en.post(flow.CallCanceled{Call: id})
	}
}

func (en *Entry) dialect() *Dialect { return &en.owner.dialect }

func (en *Entry) readCall(writer http.ResponseWriter, request *http.Request) (Job, types.Option[time.Duration], *fault.Error) {
	job := Job{EntryNode: en.self, Method: request.Method, URI: requestURI(request), Host: request.Host, Header: request.Header}
	// Check Upgrade before stripHopHeaders removes it.
	tunnelErr := refuseTunnel(request)
	stripHopHeaders(job.Header)
	metadata, err := en.dialect().ReadCall(request)
	stripInternalHeaders(job.Header)
	job.Request, job.Key, job.Credential = metadata.Request, metadata.Key, metadata.Credential
	if err == nil {
		err = tunnelErr
	}
	if err != nil {
		return job, metadata.Limit, err
	}
	// An empty value keeps net/http from adding its default User-Agent to a
	// forwarded job.
	if job.Header.Get("User-Agent") == "" {
		job.Header["User-Agent"] = []string{""}
	}
	content, readErr := en.owner.readRequestBody(writer, request, en.bodyLimit())
	if readErr != nil {
		// What the caller still sends is not read.
		writer.Header().Set("Connection", "close")
		return job, metadata.Limit, bodyReadError(readErr)
	}
	job.Body, job.Room = content.text, content.room
	job.Content = contentHash(job, metadata.Caller, en.teams.Load())
	return job, metadata.Limit, nil
}

// SetMaxBody sets the configured limit on the size of a request body in bytes;
// 0 means that the configuration sets no limit. The node's own limit applies in
// any case.
func (en *Entry) SetMaxBody(limit int64) { en.configMaxBody.Store(limit) }

// SetTeams sets whether the configuration requires keys of teams, by which callers are known.
func (en *Entry) SetTeams(teams bool) { en.teams.Store(teams) }

func (en *Entry) bodyLimit() int64 {
	if limit := en.configMaxBody.Load(); limit > 0 {
		return min(limit, en.maxBody)
	}
	return en.maxBody
}

// TargetOf returns the properties of a caller's request that routes match on.
func TargetOf(request *http.Request) route.Request {
	path, _, _ := strings.Cut(requestURI(request), "?")
	return route.Request{Method: request.Method, Host: request.Host, Path: path}
}

// requestURI returns the path and query as the caller sent them.
func requestURI(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

// refuseTunnel returns an error for CONNECT requests and for upgrades to another
// protocol. An upgrade to h2c is ignored, so the call continues over HTTP/1.1.
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

// Apply carries out an effect of package flow that concerns a call. It reports
// whether it handles effects of this type.
func (en *Entry) Apply(effect types.Effect) bool {
	switch ef := effect.(type) {
	case flow.StartAttempt:
		en.startAttempt(ef)
	case flow.CancelAttempt:
		en.cancelAttempt(ef)
	case flow.Deliver:
		en.deliver(ef)
	case flow.Fail:
		if pending, ok := en.calls.get(ef.Call); ok {
			pending.done <- callResult{err: ef.Err}
		}
	default:
		return false
	}
	return true
}

func (en *Entry) startAttempt(effect flow.StartAttempt) {
	pending, ok := en.calls.get(effect.Call)
	if !ok {
		return
	}
	job := pending.job
	job.Route = effect.Route
	job.Deadline = effect.Deadline
	job.SoftDeadline = effect.SoftDeadline
	job.Key = effect.Key
	job.Content = effect.Content
	job.Team = effect.Team
	job.CostFactor = effect.Target.CostFactor
	if effect.HideCredential {
		job.Header = withoutCredential(job.Header)
	}
	job.Room = job.Room.Share()
	job.LastOwner = effect.LastOwner
	job.KeyDeclinedBy = effect.KeyDeclinedBy
	ctx, cancel := context.WithDeadline(context.Background(), effect.Deadline)
	en.mu.Lock()
	if len(pending.attempts) == 0 {
		pending.firstStart = en.now()
	}
	pending.attempts[effect.Attempt] = &pendingAttempt{cancel: cancel}
	en.mu.Unlock()
	go en.runAttempt(ctx, pending, effect, job)
}

func (en *Entry) runAttempt(ctx context.Context, pending *pendingCall, effect flow.StartAttempt, job Job) {
	defer job.Room.Release()
	start := en.now()
	var result Result
	if effect.Target.Local {
		result = en.owner.doLocal(ctx, job)
	} else {
		result = en.forwarder.Do(ctx, effect.Target.Address, job)
	}
	ended := en.now()
	if !effect.Target.Local && result.Verdict == flow.Answered {
		en.owner.metrics.ForwardOverhead(ended.Sub(start) - result.AtOwner)
	}
	en.mu.Lock()
	attempt := pending.attempts[effect.Attempt]
	attempt.response = result.Response
	attempt.ended = ended
	attempt.cancel()
	en.mu.Unlock()
	en.post(flow.AttemptEnded{
		Call:              effect.Call,
		Attempt:           effect.Attempt,
		Verdict:           result.Verdict,
		Err:               result.Err,
		Load:              result.Load,
		KeyDeclined:       result.KeyDeclined,
		RefusedByUpstream: result.RefusedByUpstream,
		Elapsed:           ended.Sub(start),
		AtUpstream:        result.AtUpstream,
		Lasting:           result.Lasting,
		Size:              len(result.Response.Body),

		ServerFault:   result.Response.Status >= http.StatusInternalServerError,
		UpstreamEnded: result.UpstreamEnded,
	})
}

func (en *Entry) cancelAttempt(effect flow.CancelAttempt) {
	pending, ok := en.calls.get(effect.Call)
	if !ok {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if attempt, ok := pending.attempts[effect.Attempt]; ok {
		attempt.cancel()
	}
}

func (en *Entry) deliver(effect flow.Deliver) {
	pending, ok := en.calls.get(effect.Call)
	if !ok {
		return
	}
	en.mu.Lock()
	attempt := pending.attempts[effect.Attempt]
	res := callResult{response: attempt.response, attemptsTime: attempt.ended.Sub(pending.firstStart)}
	en.mu.Unlock()
	pending.done <- res
}

func (en *Entry) writeResponse(ctx context.Context, writer http.ResponseWriter, job Job, res callResult) {
	if res.err != nil {
		en.dialect().WriteFault(writer, job.Request, res.err)
		return
	}
	response := res.response
	header := writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	en.dialect().WriteAnswer(header, job.Request)
	if hasBody(job.Method, response.Status) {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	if length, ok := response.ContentLength.Get(); ok {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	writer.WriteHeader(response.Status)
	if !hasBody(job.Method, response.Status) {
		return
	}
	if en.owner.pacer.write(ctx, writer, response.Body, en.now) != nil {
		// Close the connection, so that the caller sees a truncated response.
		panic(http.ErrAbortHandler)
	}
}
