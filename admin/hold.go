package admin

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// Holds returns the requests that this node holds back.
func (sv *server) Holds(context.Context, *connect.Request[opsv1.HoldsRequest]) (*connect.Response[opsv1.HoldsResponse], error) {
	response := &opsv1.HoldsResponse{}
	for _, hold := range sv.service.Holds() {
		response.Holds = append(response.Holds, &opsv1.Hold{
			Content: hold.Content.String(), Crashes: uint32(hold.Crashes), Instances: uint32(hold.Instances), Until: timestamppb.New(hold.Until),
		})
	}
	return connect.NewResponse(response), nil
}

// Release lifts the hold of a request on all nodes.
func (sv *server) Release(_ context.Context, request *connect.Request[opsv1.ReleaseRequest]) (*connect.Response[opsv1.ReleaseResponse], error) {
	content, ok := types.ParseContentHash(request.Msg.GetContent())
	if !ok {
		return nil, codec.FaultToRPC(fault.New(fault.InvalidInput, "the content %q is not a hash of 16 hexadecimal digits", request.Msg.GetContent()))
	}
	if err := sv.service.Release(content); err != nil {
		return nil, codec.FaultToRPC(err)
	}
	return connect.NewResponse(&opsv1.ReleaseResponse{}), nil
}
