// Package peer has the RPC server and client for the control messages between
// nodes: exchanges of membership messages, indirect probes and pulls of the
// configuration.
//
// # Usage
//
//	path, handler := peer.NewHandler(peer.Service{Exchange: exchange, Pull: pull})
//	client := peer.NewClient(clock, time.Now)
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
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/heads"
	"sequoiamill.example/sequoiamill/quota"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	maxMessage = 8 << 20
	// minCompressed is the size in bytes from which an answer is compressed. Most
	// answers to exchanges are smaller, and compressing those would cost more processor
	// time than all else about them.
	minCompressed   = 2 << 10
	idleConnections = 256
	idleTimeout     = 30 * time.Second
	instanceHeader  = "Sequoiamill-Instance"
	userAgent       = "sequoiamill"
)

// Service holds the functions with which a node answers its peers.
type Service struct {
	// Clock is the node's hybrid logical clock. The timestamps in the peers'
	// messages advance it.
	Clock *trace.Clock
	// Now returns the current time.
	Now func() time.Time
	// Exchange handles a membership message of a peer and returns the answer.
	Exchange func(ctx context.Context, message fleet.Message) (fleet.Message, error)
	// Pull returns the configuration that is in force on the node.
	Pull func() (conf.Bundle, error)
	// Trade handles a peer's trade of tokens of teams' limits.
	Trade func(ctx context.Context, offer quota.Trade) (quota.Answer, error)
	// Probe probes another node and reports whether it answered.
	Probe func(ctx context.Context, id types.InstanceID, address types.Address) bool
	// ReadRoot reads the platform's configuration root for a peer. It returns an error if
	// the platform does not answer.
	ReadRoot func(ctx context.Context) error
	// Meter counts the bytes of the requests and answers. If it is nil, nothing is
	// counted.
	Meter Meter
}

// NewHandler returns the path and the handler of the RPC service for peers.
func NewHandler(service Service) (string, http.Handler) {
	path, handler := peerv1connect.NewPeerHandler(&server{service: service}, connect.WithReadMaxBytes(maxMessage), connect.WithCompressMinBytes(minCompressed))
	if service.Meter != nil {
		handler = service.Meter.handler(handler)
	}
	return path, handler
}

type server struct{ service Service }

// Exchange handles a membership message of a peer and advances the clock to the
// timestamp of the message.
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

// Probe serves an indirect probe: it probes another node for the requesting peer.
func (sv *server) Probe(ctx context.Context, request *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	reached := sv.service.Probe(ctx, types.InstanceID(request.Msg.GetInstance()), types.Address(request.Msg.GetAddress()))
	return connect.NewResponse(&peerv1.ProbeResponse{Reached: reached}), nil
}

// ReadRoot serves a hedged read: it reads the platform's configuration root for the
// requesting peer.
func (sv *server) ReadRoot(ctx context.Context, _ *connect.Request[peerv1.ReadRootRequest]) (*connect.Response[peerv1.ReadRootResponse], error) {
	err := sv.service.ReadRoot(ctx)
	return connect.NewResponse(&peerv1.ReadRootResponse{Answered: err == nil}), nil
}

// Pull returns the configuration in force, excluding the resource bodies that the
// requesting peer already holds.
func (sv *server) Pull(_ context.Context, request *connect.Request[peerv1.PullRequest]) (*connect.Response[peerv1.PullResponse], error) {
	bundle, err := sv.service.Pull()
	if err != nil {
		return nil, codec.FaultToRPC(err)
	}
	return connect.NewResponse(codec.BundleToProto(bundle, types.NewSet(request.Msg.GetHeld()...))), nil
}

// Client sends control messages to peers.
type Client struct {
	http     *http.Client
	dialer   Dialer
	meter    Meter
	clock    *trace.Clock
	now      func() time.Time
	instance types.InstanceID
}

// Option configures a Client.
type Option func(*Client)

// WithMeter sets the meter that counts the bytes of the client's connections.
func WithMeter(meter Meter) Option {
	return func(cl *Client) { cl.meter = meter }
}

// WithDialer sets the function that opens connections to peers. The default is a
// net.Dialer without TLS.
func WithDialer(dial Dialer) Option {
	return func(cl *Client) { cl.dialer = dial }
}

// WithInstance sets the instance that each request names as its sender.
func WithInstance(id types.InstanceID) Option {
	return func(cl *Client) { cl.instance = id }
}

// NewClient returns a Client. Its membership messages carry timestamps of clock, and
// the timestamps in the answers advance clock.
func NewClient(clock *trace.Clock, now func() time.Time, opts ...Option) *Client {
	cl := &Client{dialer: (&net.Dialer{}).DialContext, clock: clock, now: now}
	for _, opt := range opts {
		opt(cl)
	}
	if cl.meter != nil {
		cl.dialer = cl.meter.dialer(cl.dialer)
	}
	cl.http = &http.Client{Transport: heads.NewTransport(&http.Transport{
		DialContext:        cl.dialer,
		MaxIdleConns:       idleConnections,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
	}, heads.WithKnownEnd())}
	return cl
}

// rpcClient returns an RPC client for the peer at an address.
func (cl *Client) rpcClient(address types.Address) peerv1connect.PeerClient {
	return peerv1connect.NewPeerClient(cl.http, "http://"+string(address), connect.WithReadMaxBytes(maxMessage))
}

// newRequest returns a request that names the client's instance as its sender.
func newRequest[T any](cl *Client, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set(instanceHeader, string(cl.instance))
	request.Header().Set("User-Agent", userAgent)
	return request
}

// Exchange sends a membership message and returns the answer.
func (cl *Client) Exchange(ctx context.Context, address types.Address, message fleet.Message) (fleet.Message, error) {
	wire := codec.MessageToProto(message, cl.clock.Now(cl.now()))
	reply, err := cl.rpcClient(address).Exchange(ctx, newRequest(cl, &peerv1.ExchangeRequest{Message: wire}))
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

// Probe asks the peer at an address to probe another node and reports whether that
// node answered the peer.
func (cl *Client) Probe(ctx context.Context, address types.Address, id types.InstanceID, target types.Address) (bool, error) {
	request := &peerv1.ProbeRequest{Instance: string(id), Address: string(target)}
	reply, err := cl.rpcClient(address).Probe(ctx, newRequest(cl, request))
	if err != nil {
		return false, codec.FaultFromRPC(err)
	}
	return reply.Msg.GetReached(), nil
}

// ReadRoot asks the peer at an address to read the platform's configuration root. It
// returns an error if the platform does not answer the peer.
func (cl *Client) ReadRoot(ctx context.Context, address types.Address) error {
	reply, err := cl.rpcClient(address).ReadRoot(ctx, newRequest(cl, &peerv1.ReadRootRequest{}))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	if !reply.Msg.GetAnswered() {
		return fault.New(fault.PlatformUnavailable, "the platform does not answer the peer")
	}
	return nil
}

// Pull fetches the configuration in force on the peer at an address. held is the
// configuration that the client already holds. The peer omits the resource bodies
// that are in held, and Pull adds them to the result.
func (cl *Client) Pull(ctx context.Context, address types.Address, held conf.Bundle) (conf.Bundle, error) {
	request := &peerv1.PullRequest{}
	for hash := range held.Bodies {
		request.Held = append(request.Held, codec.HashPrefix(hash))
	}
	reply, err := cl.rpcClient(address).Pull(ctx, newRequest(cl, request))
	if err != nil {
		return conf.Bundle{}, codec.FaultFromRPC(err)
	}
	return codec.BundleFromProto(reply.Msg, held), nil
}
