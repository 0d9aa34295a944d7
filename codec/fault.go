package codec

import (
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/fault"
)

const (
	kindHeader       = "sequoiamill-error-kind"
	retryAfterHeader = "sequoiamill-retry-after-millis"
)

// FaultToRPC converts an error to an RPC error. The metadata of the RPC error
// carries the kind of the error and the time to wait before a retry.
func FaultToRPC(err error) *connect.Error {
	known := fault.From(err)
	wire := connect.NewError(connect.Code(fault.StatusOf(known.Kind).RPCCode), errors.New(known.Message))
	wire.Meta().Set(kindHeader, known.Kind.String())
	if known.RetryAfter > 0 {
		wire.Meta().Set(retryAfterHeader, strconv.FormatInt(known.RetryAfter.Milliseconds(), 10))
	}
	return wire
}

// FaultFromRPC converts an RPC error to a fault.Error. If the RPC error carries
// no known kind, for example because the connection failed, the kind is
// Unreachable.
func FaultFromRPC(err error) *fault.Error {
	var known *fault.Error
	if errors.As(err, &known) {
		return known
	}
	var wire *connect.Error
	if !errors.As(err, &wire) {
		return fault.From(err)
	}
	kind, ok := fault.ParseKind(wire.Meta().Get(kindHeader))
	if !ok {
		return fault.New(fault.Unreachable, "%s", wire.Message())
	}
	known = fault.New(kind, "%s", wire.Message())
	if millis, err := strconv.ParseInt(wire.Meta().Get(retryAfterHeader), 10, 64); err == nil {
		known = known.WithRetryAfter(time.Duration(millis) * time.Millisecond)
	}
	return known
}
