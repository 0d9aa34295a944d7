package admin

import (
	"context"

	"connectrpc.com/connect"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/codec"
)

// Explain returns where this node would send a request now, and why.
func (sv *server) Explain(_ context.Context, request *connect.Request[opsv1.ExplainRequest]) (*connect.Response[opsv1.ExplainResponse], error) {
	question, err := codec.QuestionFromProto(request.Msg)
	if err != nil {
		return nil, codec.FaultToRPC(err)
	}
	explanation, err := sv.service.Explain(question)
	if err != nil {
		return nil, codec.FaultToRPC(err)
	}
	return connect.NewResponse(codec.ExplanationToProto(explanation)), nil
}
