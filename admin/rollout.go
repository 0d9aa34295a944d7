package admin

import (
	"context"

	"connectrpc.com/connect"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/types"
)

// Rollouts holds the functions of a node that orders of roll-outs need.
type Rollouts struct {
	// Start stores an order. Abort withdraws it.
	Start func(ctx context.Context, order canary.Order) error
	Abort func(ctx context.Context, service types.ServiceName) error
	// List returns the roll-outs that the node knows.
	List func() []canary.Status
}

// StartRollout stores an order.
func (sv *server) StartRollout(ctx context.Context, request *connect.Request[opsv1.StartRolloutRequest]) (*connect.Response[opsv1.StartRolloutResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	now := sv.service.Now()
	order := canary.Order{
		Service: types.ServiceName(request.Msg.GetService()), To: types.UpstreamVersion(request.Msg.GetVersion()),
		Start: now, Deadline: now.Add(request.Msg.GetDuration().AsDuration()),
	}
	if err := sv.service.Rollouts.Start(ctx, order); err != nil {
		return nil, codec.FaultToRPC(err)
	}
	return connect.NewResponse(&opsv1.StartRolloutResponse{}), nil
}

// Rollouts returns the roll-outs that this node knows.
func (sv *server) Rollouts(context.Context, *connect.Request[opsv1.RolloutsRequest]) (*connect.Response[opsv1.RolloutsResponse], error) {
	response := &opsv1.RolloutsResponse{}
	for _, status := range sv.service.Rollouts.List() {
		response.Rollouts = append(response.Rollouts, codec.RolloutToProto(status))
	}
	return connect.NewResponse(response), nil
}

// AbortRollout withdraws an order.
func (sv *server) AbortRollout(ctx context.Context, request *connect.Request[opsv1.AbortRolloutRequest]) (*connect.Response[opsv1.AbortRolloutResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := sv.service.Rollouts.Abort(ctx, types.ServiceName(request.Msg.GetService())); err != nil {
		return nil, codec.FaultToRPC(err)
	}
	return connect.NewResponse(&opsv1.AbortRolloutResponse{}), nil
}
