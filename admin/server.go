package admin

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/api/opsv1/opsv1connect"
	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	waitInterval = 100 * time.Millisecond
	// publishTimeout is the timeout for publishing a change or for reading the
	// configuration from the platform.
	publishTimeout = 5 * time.Second
	// statusTimeout is the timeout for reading the platform's root when an
	// operator requests the status.
	statusTimeout = 500 * time.Millisecond
)

// HighestVersion returns the highest version that any node is known to hold or to have
// held.
func (v View) HighestVersion() types.Version {
	highest := max(v.Version, v.Floor)
	for _, member := range v.Members {
		highest = max(highest, member.HeldVersion)
	}
	return highest
}

// Service holds the functions of a node that the operators' RPC service uses.
type Service struct {
	Publisher *Publisher
	View      func() View
	// Now returns the current time.
	Now func() time.Time
	// OnPublished informs the node that the platform has stored a new version.
	OnPublished func(version types.Version)
	// Timeline returns the events that this node recorded.
	Timeline func(filter trace.Filter) []trace.Entry
	// Holds returns the requests that are held back.
	Holds func() []blame.Hold
	// Release lifts the hold of a request. It returns an error of kind NotFound if the
	// request is not held back.
	Release func(content types.ContentHash) error
	// Explain returns where a request would go now. It returns an error if the question
	// names an unknown team or service.
	Explain  func(question flow.Question) (flow.Explanation, *fault.Error)
	Rollouts Rollouts
	// Collect returns the events that a peer recorded.
	Collect func(ctx context.Context, address types.Address, request *opsv1.TimelineRequest) ([]trace.Entry, error)
}

// NewHandler returns the path and the handler of the operators' RPC service.
func NewHandler(service Service) (string, http.Handler) {
	return opsv1connect.NewOperatorHandler(&server{service: service})
}

type server struct{ service Service }

// Get returns the configuration that the platform stores.
func (sv *server) Get(ctx context.Context, _ *connect.Request[opsv1.GetRequest]) (*connect.Response[opsv1.GetResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	snap, err := sv.service.Publisher.Read(ctx)
	if err != nil {
		return nil, codec.FaultToRPC(err)
	}
	return connect.NewResponse(&opsv1.GetResponse{
		Version:  uint64(snap.Version()),
		ChangeId: string(snap.Root().Change),
		Config:   codec.ConfigToProto(snap.Config()),
	}), nil
}

// Apply publishes a change.
func (sv *server) Apply(ctx context.Context, request *connect.Request[opsv1.ApplyRequest]) (*connect.Response[opsv1.ApplyResponse], error) {
	change, err := changeFromProto(request.Msg)
	if err != nil {
		return nil, codec.FaultToRPC(err)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	accepted, err := sv.service.Publisher.Publish(ctx, change)
	if err != nil {
		return nil, codec.FaultToRPC(err)
	}
	sv.service.OnPublished(accepted.Version)
	return connect.NewResponse(&opsv1.ApplyResponse{Version: uint64(accepted.Version), Repeated: accepted.Repeated}), nil
}

// changeFromProto decodes a change.
func changeFromProto(wire *opsv1.ApplyRequest) (Change, error) {
	config, err := codec.ConfigFromProto(wire.GetConfig())
	if err != nil {
		return Change{}, err
	}
	change := Change{
		ID:      types.ChangeID(wire.GetChangeId()),
		Base:    types.Version(wire.GetBaseVersion()),
		Config:  config,
		Replace: wire.GetReplace(),
	}
	for _, item := range wire.GetDelete() {
		key, err := codec.KeyFromProto(item)
		if err != nil {
			return Change{}, err
		}
		change.Delete = append(change.Delete, key)
	}
	return change, nil
}

// Status reports the configuration version that each node holds and which nodes
// lag behind this node's version. If this node refuses the root object stored on
// the platform, Status also reports why.
func (sv *server) Status(ctx context.Context, _ *connect.Request[opsv1.StatusRequest]) (*connect.Response[opsv1.StatusResponse], error) {
	view := sv.service.View()
	status := &opsv1.StatusResponse{Instance: string(view.Self), Version: uint64(view.Version), Floor: uint64(view.Floor)}
	if refused := sv.refusedRoot(ctx, view); refused != nil {
		status.RefusedRoot = refused.Error()
	}
	now := sv.service.Now()
	for _, id := range view.LateNodes(now) {
		status.LateNodes = append(status.LateNodes, string(id))
	}
	if len(status.GetLateNodes()) > 0 {
		status.LateSince = timestamppb.New(view.AdoptedAt.Add(RolloutTimeout))
	}
	for _, member := range view.Members {
		status.Nodes = append(status.Nodes, nodeToProto(member))
	}
	for _, usage := range view.Limits {
		status.Teams = append(status.Teams, codec.TeamStatusToProto(usage))
	}
	return connect.NewResponse(status), nil
}

// refusedRoot returns why this node can't adopt the platform's root, or nil if no
// such reason is known. If the node has not refused a root itself, refusedRoot
// reads the root from the platform, because a node that does not watch the
// platform has not seen the root. If that read fails for another reason, such as
// an outage of the platform, refusedRoot returns nil.
func (sv *server) refusedRoot(ctx context.Context, view View) *fault.Error {
	if view.Refused.Err != nil {
		return view.Refused.Err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	snap, err := sv.service.Publisher.readOnce(ctx)
	switch {
	case fault.Is(err, fault.ConfigRefused):
		return fault.From(err)
	case err == nil && snap.Version() < view.Version:
		return fault.New(fault.ConfigRefused, "the platform's root went back from version %d to %d", view.Version, snap.Version())
	}
	return nil
}

func nodeToProto(member fleet.Member) *opsv1.NodeStatus {
	return &opsv1.NodeStatus{
		Instance: string(member.ID),
		Zone:     string(member.Zone),
		Region:   string(member.Region),
		Service:  string(member.Service),
		State:    member.Status.String(),
		Version:  uint64(member.HeldVersion),
		Upstream: member.AcceptsWork(),
	}
}

// Wait streams progress until a version is in force on every live node, or until
// the time limit of the request expires.
func (sv *server) Wait(ctx context.Context, request *connect.Request[opsv1.WaitRequest], stream *connect.ServerStream[opsv1.WaitResponse]) error {
	if limit := request.Msg.GetLimit(); limit != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit.AsDuration())
		defer cancel()
	}
	for {
		progress := progressOf(sv.service.View(), types.Version(request.Msg.GetVersion()))
		if err := stream.Send(progress); err != nil {
			return err
		}
		if progress.GetInForce() || !pause(ctx, waitInterval) {
			return nil
		}
	}
}

// progressOf counts the live nodes, including suspect ones, and those among them
// that hold the given version or a later one.
func progressOf(view View, version types.Version) *opsv1.WaitResponse {
	progress := &opsv1.WaitResponse{Version: uint64(version)}
	for _, member := range view.Members {
		if member.Status != fleet.Alive && member.Status != fleet.Suspect {
			continue
		}
		progress.Total++
		if member.HeldVersion >= version {
			progress.Holding++
			continue
		}
		progress.Lagging = append(progress.Lagging, string(member.ID))
	}
	progress.InForce = progress.GetHolding() == progress.GetTotal()
	return progress
}

// Timeline returns the merged events of this node and of all other reachable nodes.
// If the request asks for local events only, it returns those of this node.
func (sv *server) Timeline(ctx context.Context, request *connect.Request[opsv1.TimelineRequest]) (*connect.Response[opsv1.TimelineResponse], error) {
	filter := codec.FilterFromProto(request.Msg)
	lists := [][]trace.Entry{sv.service.Timeline(filter)}
	response := &opsv1.TimelineResponse{}
	if !request.Msg.GetLocal() {
		others, unreachable := sv.collect(ctx, request.Msg)
		lists = append(lists, others...)
		response.Unreachable = unreachable
	}
	for _, entry := range trace.Merge(filter.Limit, lists...) {
		response.Events = append(response.Events, codec.EntryToProto(entry))
	}
	return connect.NewResponse(response), nil
}
