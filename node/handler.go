package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v4"

	"sequoiamill.example/sequoiamill/admin"
	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/api/opsv1/opsv1connect"
	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/peer"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

func (nd *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(proxy.ForwardPath, nd.owner)
	mux.Handle(proxy.CompactForwardPath, nd.owner)
	mux.Handle(peer.NewHandler(peer.Service{
		Clock:    nd.clock,
		Now:      nd.now,
		Exchange: nd.serveExchange,
		Pull:     nd.servePull,
		Probe:    nd.serveProbe,
		Trade:    nd.serveTrade,
		ReadRoot: nd.serveReadRoot,
		Meter:    nd.metrics.countControlBytes,
	}))
	mux.Handle(nd.operatorHandler())
	return mux
}

func (nd *Node) operatorHandler() (string, http.Handler) {
	return admin.NewHandler(admin.Service{
		Publisher:   nd.publisher(),
		View:        nd.view,
		Now:         nd.now,
		OnPublished: nd.onPublished,
		Timeline:    nd.ring.Select,
		Holds:       nd.holds,
		Release:     nd.release,
		Explain:     nd.explain,
		Rollouts:    admin.Rollouts{Start: nd.startRollout, Abort: nd.abortRollout, List: nd.rolloutStatus},
		Collect:     nd.fetchTimeline,
	})
}

func (nd *Node) holds() []blame.Hold {
	var holds []blame.Hold
	nd.loop.read(func(state *core.State) { holds = state.Holds(nd.now()) })
	return holds
}

func (nd *Node) release(content types.ContentHash) error {
	if !slices.ContainsFunc(nd.holds(), func(hold blame.Hold) bool { return hold.Content == content }) {
		return fault.New(fault.NotFound, "the request with the content %s is not held back", content)
	}
	nd.loop.post(core.HoldLifted{Content: content})
	return nil
}

func (nd *Node) explain(question flow.Question) (explanation flow.Explanation, err *fault.Error) {
	nd.loop.read(func(state *core.State) { explanation, err = state.Explain(question, nd.now()) })
	return explanation, err
}

func (nd *Node) publisher() *admin.Publisher {
	floor := func() types.Version { return nd.view().HighestVersion() }
	return admin.NewPublisher(nd.store, admin.WithHeld(nd.bundle), admin.WithFloor(floor))
}

// onPublished records that a configuration was published through this node and
// reads the root object immediately, so that this node also passes the
// configuration on to its peers.
func (nd *Node) onPublished(version types.Version) {
	nd.recordEvent(trace.Event{Kind: trace.ConfigPublished, Version: version, Subject: nd.settings.Instance})
	go func() {
		ctx, cancel := context.WithTimeout(nd.runCtx, platformTimeout)
		defer cancel()
		object, err := nd.getRoot(ctx)
		if err != nil {
			nd.recordEvent(trace.Event{Kind: trace.PlatformFailed, Detail: "read: " + fault.From(err).Error()})
			return
		}
		nd.offerRoot(ctx, object, conf.ReadAfterWrite)
	}()
}

func (nd *Node) fetchTimeline(ctx context.Context, address types.Address, request *opsv1.TimelineRequest) ([]trace.Entry, error) {
	client := opsv1connect.NewOperatorClient(nd.collector, "http://"+string(address))
	response, err := client.Timeline(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, codec.FaultFromRPC(err)
	}
	var entries []trace.Entry
	for _, event := range response.Msg.GetEvents() {
		entries = append(entries, codec.EntryFromProto(event))
	}
	return entries, nil
}

func (nd *Node) adminHandler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	path, handler := nd.operatorHandler()
	router.Any(path+"*", echo.WrapHandler(nd.requireOperatorCert(handler)))
	router.GET("/healthz", func(ctx echo.Context) error { return ctx.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", nd.serveReady)
	router.GET("/metrics", nd.serveMetrics)
	router.POST("/announce", nd.serveAnnounce)
	return router
}

func (nd *Node) serveReady(ctx echo.Context) error {
	if !nd.Ready() {
		return ctx.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return ctx.String(http.StatusOK, "ready\n")
}

func (nd *Node) serveMetrics(ctx echo.Context) error {
	ctx.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	nd.metrics.write(ctx.Response())
	nd.writeLimits(ctx.Response())
	return nil
}

// AnnouncementWire is the JSON body with which an upstream announces itself to
// its node. Decoding errors contain the name of this type and are sent to the
// upstream, so renaming the type changes these messages.
type AnnouncementWire struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	WarmUpMillis int64  `json:"warm-up-millis"`
	Leaving      bool   `json:"leaving"`
	Version      string `json:"version"`
}

func (nd *Node) serveAnnounce(ctx echo.Context) error {
	if !fromInstance(ctx.Request()) {
		return answerFault(ctx, fault.New(fault.InvalidInput, "announcement: only the upstream on the node's own instance may announce itself"))
	}
	var wire AnnouncementWire
	if err := ctx.Bind(&wire); err != nil {
		return answerFault(ctx, fault.Wrap(fault.InvalidInput, err, "decode announcement"))
	}
	if err := wire.validate(); err != nil {
		return answerFault(ctx, fault.From(err))
	}
	announcement := core.Announcement{
		Address:     types.Address(wire.Address),
		Service:     types.ServiceName(wire.Service),
		Slots:       wire.Slots,
		Connections: wire.Connections,
		WarmUp:      time.Duration(wire.WarmUpMillis) * time.Millisecond,
		Leaving:     wire.Leaving,
		Version:     types.UpstreamVersion(wire.Version),
	}
	if err := announcement.CheckNames(); err != nil {
		return answerFault(ctx, fault.From(err))
	}
	nd.Announce(announcement)
	return ctx.NoContent(http.StatusNoContent)
}

// RecordRefusedAnnouncement records an event for an announcement that could not
// be decoded.
func (nd *Node) RecordRefusedAnnouncement(err *fault.Error) {
	nd.recordEvent(trace.Event{Kind: trace.AnnouncementIgnored, Subject: nd.settings.Instance, Detail: err.Message})
}

func (w AnnouncementWire) validate() error {
	if w.Service == "" {
		return fault.New(fault.InvalidInput, "announcement: the service is missing")
	}
	if w.Slots <= 0 || w.Connections <= 0 {
		return fault.New(fault.InvalidInput, "announcement: slots and connections must be above 0")
	}
	if faults := addressFaults("address", types.Address(w.Address)); len(faults) > 0 {
		return fault.New(fault.InvalidInput, "announcement: %s", faults[0])
	}
	return nil
}

func answerFault(ctx echo.Context, err *fault.Error) error {
	return ctx.JSON(fault.StatusOf(err.Kind).HTTPStatus, map[string]string{"kind": err.Kind.String(), "message": err.Message})
}
