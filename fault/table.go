package fault

// Outcome states whether the receiver of a failed request, such as an upstream or
// the platform, executed the request.
type Outcome int

// The outcomes of a failed request.
const (
	NotRun Outcome = iota
	Ran
	Unknown
)

// String returns the kebab-case name of the outcome.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// RPCCode is a status code of the RPC protocol, with the numbers of gRPC.
type RPCCode uint32

const (
	codeCanceled           RPCCode = 1
	codeUnknown            RPCCode = 2
	codeInvalidArgument    RPCCode = 3
	codeDeadlineExceeded   RPCCode = 4
	codeNotFound           RPCCode = 5
	codeAlreadyExists      RPCCode = 6
	codeResourceExhausted  RPCCode = 8
	codeFailedPrecondition RPCCode = 9
	codeAborted            RPCCode = 10
	codeOutOfRange         RPCCode = 11
	codeInternal           RPCCode = 13
	codeUnavailable        RPCCode = 14
	codeDataLoss           RPCCode = 15
	codeUnauthenticated    RPCCode = 16
)

// Status holds the status codes and properties with which an error of one kind is
// reported to callers and operators. Error.WithOutcome overrides Outcome for a
// single error.
type Status struct {
	HTTPStatus int
	RPCCode    RPCCode
	Outcome    Outcome
	// Retryable is true if a retry of the same request may succeed.
	Retryable bool
	// ExitCode is the exit code of the command-line tool.
	ExitCode int
}

// StatusClientClosed is the HTTP status of a request that its caller canceled. The
// HTTP standard does not define it; nginx uses the same number.
const StatusClientClosed = 499

var statuses = [kindCount]Status{
	Internal:            {500, codeInternal, Unknown, false, 70},
	InvalidInput:        {400, codeInvalidArgument, NotRun, false, 2},
	NotFound:            {404, codeNotFound, NotRun, false, 3},
	TooLarge:            {413, codeInvalidArgument, NotRun, false, 4},
	NoRoute:             {404, codeNotFound, NotRun, false, 5},
	NoUpstream:          {503, codeUnavailable, NotRun, true, 6},
	Overloaded:          {503, codeResourceExhausted, NotRun, true, 7},
	Closed:              {503, codeUnavailable, NotRun, true, 8},
	Stopping:            {503, codeUnavailable, NotRun, true, 9},
	NotReady:            {503, codeUnavailable, NotRun, true, 10},
	DeadlineExceeded:    {504, codeDeadlineExceeded, NotRun, true, 11},
	Canceled:            {StatusClientClosed, codeCanceled, Unknown, false, 12},
	OutcomeUnknown:      {504, codeUnknown, Unknown, false, 13},
	BrokenAnswer:        {502, codeDataLoss, Unknown, false, 14},
	Unreachable:         {502, codeUnavailable, NotRun, true, 15},
	VersionConflict:     {409, codeAborted, NotRun, true, 16},
	ConfigRefused:       {422, codeFailedPrecondition, NotRun, false, 17},
	PlatformUnavailable: {503, codeUnavailable, NotRun, true, 18},
	KeyReused:           {409, codeAlreadyExists, NotRun, false, 19},
	Expired:             {410, codeOutOfRange, NotRun, false, 20},
	Held:                {503, codeUnavailable, NotRun, false, 21},
	Unauthenticated:     {401, codeUnauthenticated, NotRun, false, 22},
	LimitExceeded:       {429, codeResourceExhausted, NotRun, false, 23},
	RequestTimeout:      {408, codeDeadlineExceeded, NotRun, true, 24},
}

// StatusOf returns the Status of an error kind, or that of Internal if the kind
// is not known.
func StatusOf(kind Kind) Status {
	if kind < 0 || kind >= kindCount {
		return statuses[Internal]
	}
	return statuses[kind]
}
