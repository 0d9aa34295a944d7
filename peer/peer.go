// Package peer carries the control messages between nodes.
//
// # Usage
//
//	path, handler := peer.NewHandler(peer.Service{Exchange: exchange, Pull: pull})
//	client := peer.NewClient(clock)
//	answer, err := client.Exchange(ctx, address, message)
package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"sequoiamill.example/sequoiamill/api/peerv1"
	"sequoiamill.example/sequoiamill/api/peerv1/peerv1connect"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	maxMessage      = 8 << 20
	idleConnections = 256
	idleTimeout     = 30 * time.Second
	instanceHeader  = "Sequoiamill-Instance"
	userAgent       = "sequoiamill"
)

// Service is what a node answers to its peers.
type Service struct {
	// Clock orders this node's events after those of its peers.
	Clock *trace.Clock
	// Now returns the present time.
	Now func() time.Time
	// Exchange answers a membership message.
	Exchange func(ctx context.Context, message fleet.Message) (fleet.Message, error)
	// Pull returns the configuration in force.
	Pull func() (conf.Bundle, error)
	// Probe asks another node for an answer.
	Probe func(ctx context.Context, id types.InstanceID, address types.Address) bool
	// Meter takes the bytes of the messages served.
	Meter Meter
}

// NewHandler returns the path and handler that serve peers.
func NewHandler(service Service) (string, http.Handler) {
	path, handler := peerv1connect.NewPeerHandler(&server{service: service}, connect.WithReadMaxBytes(maxMessage))
	if service.Meter != nil {
		handler = service.Meter.handler(handler)
	}
	return path, handler
}

type server struct{ service Service }

// Exchange answers a membership message.
func (sv *server) Exchange(ctx context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	message, stamp, err := codec.MessageFromProto(request.Msg.GetMessage())
	if err != nil {
		return nil, codec.FaultToRPC(err)
	}
	now := sv.service.Now()
	sv.service.Clock.Observe(stamp, now)
	answer, err := sv.service.Exchange(ctx, message)
	if err != nil {
		return nil, codec.FaultToRPC(err)
	}
	wire := codec.MessageToProto(answer, sv.service.Clock.Now(now))
	return connect.NewResponse(&peerv1.ExchangeResponse{Message: wire}), nil
}

// Probe asks a third node for an answer.
func (sv *server) Probe(ctx context.Context, request *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	reached := sv.service.Probe(ctx, types.InstanceID(request.Msg.GetInstance()), types.Address(request.Msg.GetAddress()))
	return connect.NewResponse(&peerv1.ProbeResponse{Reached: reached}), nil
}

// Pull returns the configuration in force.
func (sv *server) Pull(_ context.Context, request *connect.Request[peerv1.PullRequest]) (*connect.Response[peerv1.PullResponse], error) {
	bundle, err := sv.service.Pull()
	if err != nil {
		return nil, codec.FaultToRPC(err)
	}
	return connect.NewResponse(codec.BundleToProto(bundle, types.NewSet(request.Msg.GetHeld()...))), nil
}

// Client calls peers.
type Client struct {
	http     *http.Client
	dialer   Dialer
	meter    Meter
	clock    *trace.Clock
	now      func() time.Time
	instance types.InstanceID
}

// Option changes a setting of a client.
type Option func(*Client)

// WithMeter counts the bytes of the client's messages.
func WithMeter(meter Meter) Option {
	return func(cl *Client) { cl.meter = meter }
}

// WithDialer sets how connections are opened.
func WithDialer(dial Dialer) Option {
	return func(cl *Client) { cl.dialer = dial }
}

// WithInstance names the calling instance on each request.
func WithInstance(id types.InstanceID) Option {
	return func(cl *Client) { cl.instance = id }
}

// NewClient returns a client whose messages carry a clock.
func NewClient(clock *trace.Clock, now func() time.Time, opts ...Option) *Client {
	cl := &Client{dialer: (&net.Dialer{}).DialContext, clock: clock, now: now}
	for _, opt := range opts {
		opt(cl)
	}
	if cl.meter != nil {
		cl.dialer = cl.meter.dialer(cl.dialer)
	}
	cl.http = &http.Client{Transport: &http.Transport{
		DialContext:        cl.dialer,
		MaxIdleConns:       idleConnections,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
	}}
	return cl
}

func (cl *Client) dial(address types.Address) peerv1connect.PeerClient {
	return peerv1connect.NewPeerClient(cl.http, "http://"+string(address), connect.WithReadMaxBytes(maxMessage))
}

// named returns a request that names the calling instance.
func named[T any](cl *Client, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set(instanceHeader, string(cl.instance))
	request.Header().Set("User-Agent", userAgent)
	return request
}

// Exchange sends a membership message and returns the answer.
func (cl *Client) Exchange(ctx context.Context, address types.Address, message fleet.Message) (fleet.Message, error) {
	wire := codec.MessageToProto(message, cl.clock.Now(cl.now()))
	reply, err := cl.dial(address).Exchange(ctx, named(cl, &peerv1.ExchangeRequest{Message: wire}))
	if err != nil {
		return fleet.Message{}, codec.FaultFromRPC(err)
	}
	answer, stamp, err := codec.MessageFromProto(reply.Msg.GetMessage())
	if err != nil {
		return fleet.Message{}, err
	}
	cl.clock.Observe(stamp, cl.now())
	return answer, nil
}

// Probe asks a peer whether it reaches another node.
func (cl *Client) Probe(ctx context.Context, address types.Address, id types.InstanceID, target types.Address) (bool, error) {
	request := &peerv1.ProbeRequest{Instance: string(id), Address: string(target)}
	reply, err := cl.dial(address).Probe(ctx, named(cl, request))
	if err != nil {
		return false, codec.FaultFromRPC(err)
	}
	return reply.Msg.GetReached(), nil
}

// Pull fetches a peer's configuration, using the bodies already held.
func (cl *Client) Pull(ctx context.Context, address types.Address, held conf.Bundle) (conf.Bundle, error) {
	request := &peerv1.PullRequest{}
	for hash := range held.Bodies {
		request.Held = append(request.Held, codec.HashPrefix(hash))
	}
	reply, err := cl.dial(address).Pull(ctx, named(cl, request))
	if err != nil {
		return conf.Bundle{}, codec.FaultFromRPC(err)
	}
	return codec.BundleFromProto(reply.Msg, held), nil
}
