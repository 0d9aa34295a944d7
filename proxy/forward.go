package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/types"
)

const (
	dialTimeout          = 500 * time.Millisecond
	forwardIdlePerPeer   = 64
	forwardIdleTimeout   = 30 * time.Second
	forwardKeepAliveTime = 5 * time.Second
)

// Forwarder sends jobs to the nodes that own other upstreams.
type Forwarder struct {
	client  *http.Client
	now     func() time.Time
	maxBody int64
}

// NewForwarder returns a forwarder for answers of at most maxBody bytes.
func NewForwarder(now func() time.Time, maxBody int64) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: forwardKeepAliveTime}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: forwardIdlePerPeer,
		IdleConnTimeout:     forwardIdleTimeout,
		DisableCompression:  true,
	}
	return &Forwarder{client: &http.Client{Transport: transport, CheckRedirect: noRedirect}, now: now, maxBody: maxBody}
}

// Do sends a job to its owner and returns how it ended.
func (fw *Forwarder) Do(ctx context.Context, address types.Address, job Job) Reply {
	var used usedConn
	request, err := http.NewRequestWithContext(used.trace(ctx), http.MethodPost, "http://"+string(address)+ForwardPath, nil)
	if err != nil {
		return refusal(fault.Wrap(fault.Internal, err, "make the forwarded call"))
	}
	setBodyOnce(request, job.Body)
	request.Header = stripHopHeaders(job.Header)
	writeJobHeaders(request.Header, job, fw.now())
	response, err := fw.client.Do(request)
	if err != nil && !used.sent() {
		return Reply{Verdict: flow.Unsent, Err: fault.Wrap(fault.Unreachable, err, "connect to the owner")}
	}
	if err != nil {
		return lost(fault.Wrap(fault.Unreachable, err, "wait for the owner"))
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := readReply(response, job.Request, fw.maxBody)
	if err != nil {
		used.close()
		return lost(fault.Wrap(fault.BrokenAnswer, err, "read the owner's answer"))
	}
	return reply
}
