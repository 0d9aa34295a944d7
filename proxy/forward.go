package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/heads"
	"sequoiamill.example/sequoiamill/types"
)

const (
	dialTimeout        = 500 * time.Millisecond
	forwardIdlePerPeer = 64
	forwardIdleTimeout = 30 * time.Second
)

// keepAlive detects within three seconds that the other end of a connection is
// unreachable.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Forwarder sends jobs to the owners on other nodes.
type Forwarder struct {
	transport *http.Transport
	now       func() time.Time
	maxBody   int64
	compact   compactOwners
}

// ForwarderOption changes a setting of a forwarder.
type ForwarderOption func(*http.Transport)

// WithDialer sets how connections to other nodes are opened.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) ForwarderOption {
	return func(tr *http.Transport) { tr.DialContext = dial }
}

// NewForwarder returns a forwarder that accepts replies with bodies of at most
// maxBody bytes.
func NewForwarder(now func() time.Time, maxBody int64, opts ...ForwarderOption) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: forwardIdlePerPeer,
		IdleConnTimeout:     forwardIdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHead,
	}
	for _, opt := range opts {
		opt(transport)
	}
	return &Forwarder{transport: transport, now: now, maxBody: maxBody}
}

// Do sends a job to the owner at an address and returns the result. It gives up
// when no byte was sent or received for inactivityTimeout.
func (fw *Forwarder) Do(ctx context.Context, address types.Address, job Job) Result {
	wd, ctx, stop := newWatchdog(ctx, inactivityTimeout)
	defer stop()
	result := fw.exchange(ctx, wd, address, job)
	if errors.Is(context.Cause(ctx), errInactive) {
		// Other idle connections to the owner may be dead as well.
		fw.transport.CloseIdleConnections()
	}
	return result
}

func (fw *Forwarder) exchange(ctx context.Context, wd *watchdog, address types.Address, job Job) Result {
	var used attemptConn
	path, isCompact := ForwardPath, fw.compact.has(string(address))
	if isCompact {
		path = CompactForwardPath
	}
	request, err := http.NewRequestWithContext(used.trace(ctx), http.MethodPost, "http://"+string(address)+path, nil)
	if err != nil {
		return notRunResult(fault.Wrap(fault.Internal, err, "make the forwarded call"))
	}
	setNonReplayableBody(request, wd.reader(bytes.NewReader(job.Body)), len(job.Body))
	request.Header = cloneHeader(job.Header)
	writeJobHeaders(request.Header, job, fw.now())
	if isCompact {
		compact(request.Header)
	}
	response, err := fw.transport.RoundTrip(request)
	if err != nil && !used.sent() {
		return Result{Verdict: flow.Unsent, Err: fault.Wrap(fault.Unreachable, err, "connect to the owner")}
	}
	if err != nil {
		cause := causeOf(ctx, err)
		if fault.Is(cause, fault.BrokenAnswer) {
			return unknownOutcomeResult(fault.From(cause))
		}
		return unknownOutcomeResult(fault.Wrap(fault.Unreachable, cause, "wait for the owner"))
	}
	defer func() { _ = response.Body.Close() }()
	if err := heads.CheckFinal(response); err != nil {
		used.close()
		return unknownOutcomeResult(fault.From(err))
	}
	response.Body = watchedBody{Reader: wd.reader(response.Body), Closer: response.Body}
	if isCompact {
		expand(response.Header)
	}
	fw.noteCompact(string(address), isCompact, response)
	result, err := readResult(response, job.Request, fw.maxBody)
	if err != nil {
		used.close()
		return unknownOutcomeResult(fault.Wrap(fault.BrokenAnswer, causeOf(ctx, err), "read the owner's answer"))
	}
	return result
}

// noteCompact records from a reply whether its owner takes compact jobs. One that answers a
// compact job otherwise than with status 200 is of an earlier build.
func (fw *Forwarder) noteCompact(address string, wasCompact bool, response *http.Response) {
	switch {
	case wasCompact && response.StatusCode != http.StatusOK:
		fw.compact.set(address, false)
	case !wasCompact && response.Header.Get(headerTakesCompact) != "":
		fw.compact.set(address, true)
	}
}

// watchedBody is a response body that resets a watchdog when it is read.
type watchedBody struct {
	io.Reader
	io.Closer
}

// causeOf returns the cause of ctx, or err if ctx has not ended.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
