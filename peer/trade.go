package peer

import (
	"context"

	"connectrpc.com/connect"

	"sequoiamill.example/sequoiamill/api/peerv1"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/quota"
	"sequoiamill.example/sequoiamill/types"
)

// Trade serves a peer's trade of tokens.
func (sv *server) Trade(ctx context.Context, request *connect.Request[peerv1.TradeRequest]) (*connect.Response[peerv1.TradeResponse], error) {
	offer, err := codec.TradeFromProto(request.Msg)
	if err != nil {
		return nil, codec.FaultToRPC(err)
	}
	answer, err := sv.service.Trade(ctx, offer)
	if err != nil {
		return nil, codec.FaultToRPC(err)
	}
	return connect.NewResponse(codec.AnswerToProto(answer)), nil
}

// Trade hands tokens to the peer at an address, and returns its answer.
func (cl *Client) Trade(ctx context.Context, address types.Address, offer quota.Trade) (quota.Answer, error) {
	reply, err := cl.rpcClient(address).Trade(ctx, newRequest(cl, codec.TradeToProto(offer)))
	if err != nil {
		return quota.Answer{}, codec.FaultFromRPC(err)
	}
	return codec.AnswerFromProto(reply.Msg)
}
