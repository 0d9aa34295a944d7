package codec

import (
	"fmt"
	"math"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// QuestionFromProto converts a question. It returns an error of kind InvalidInput if the
// question names no method or no path.
func QuestionFromProto(wire *opsv1.ExplainRequest) (flow.Question, *fault.Error) {
	if wire.GetMethod() == "" || strings.ContainsAny(wire.GetMethod(), " /") {
		return flow.Question{}, fault.New(fault.InvalidInput, "the method %q is not valid", wire.GetMethod())
	}
	if !strings.HasPrefix(wire.GetPath(), "/") {
		return flow.Question{}, fault.New(fault.InvalidInput, "the path %q does not start with /", wire.GetPath())
	}
	question := flow.Question{Method: wire.GetMethod(), Host: wire.GetHost(), URI: wire.GetPath(), BodyLength: int(wire.GetBodyLength())}
	if wire.GetTeam() != "" {
		question.Team = types.Some(types.TeamName(wire.GetTeam()))
	}
	if wire.GetService() != "" {
		question.Service = types.Some(types.ServiceName(wire.GetService()))
	}
	return question, nil
}

// ExplanationToProto converts an explanation.
func ExplanationToProto(ex flow.Explanation) *opsv1.ExplainResponse {
	wire := &opsv1.ExplainResponse{
		Instance: string(ex.Instance), Version: uint64(ex.Version), Refused: refusalToProto(ex.Refused), Unknown: ex.Unknown,
	}
	if ex.Route.Name == "" {
		return wire
	}
	wire.Route, wire.Importance = string(ex.Route.Name), opsv1.Importance(ex.Route.Importance)
	wire.Deadline = durationpb.New(ex.Route.Deadline)
	if ex.Route.TargetLatency > 0 {
		wire.Aim = durationpb.New(ex.Route.TargetLatency)
	}
	if team, ok := ex.Team.Get(); ok {
		wire.Team = &opsv1.Team{Name: string(team.Name), Importance: opsv1.Importance(team.Importance), Rate: team.Rate, Burst: team.Burst}
	}
	if ex.Cost.Basis != "" {
		wire.Cost = &opsv1.ExpectedCost{
			Duration: rounded(ex.Cost.Duration), Basis: string(ex.Cost.Basis), Factor: ex.Cost.Factor, Features: uint32(ex.Cost.Features),
		}
	}
	for _, service := range ex.Services {
		wire.Services = append(wire.Services, serviceExplanationToProto(service))
	}
	return wire
}

func serviceExplanationToProto(service flow.ServiceExplanation) *opsv1.ServiceExplanation {
	wire := &opsv1.ServiceExplanation{
		Service: string(service.Service), Weight: uint32(service.Weight), Refused: refusalToProto(service.Refused), Choice: service.Choice,
	}
	for _, owner := range service.Owners {
		wire.Owners = append(wire.Owners, ownerExplanationToProto(owner))
	}
	if preview, ok := service.Local.Get(); ok {
		wire.Local = previewToProto(preview)
	}
	return wire
}

func ownerExplanationToProto(owner flow.OwnerExplanation) *opsv1.OwnerExplanation {
	wire := &opsv1.OwnerExplanation{
		Instance: string(owner.ID), Zone: string(owner.Zone), UpstreamVersion: string(owner.Version),
		Slots: uint32(owner.Slots), Status: owner.Excluded,
	}
	if owner.Excluded != "" {
		return wire
	}
	rated := owner.Appraisal
	wire.InChoice, wire.Status, wire.Score = rated.InChoice, statusOf(rated), rated.Score
	wire.InFlight, wire.Slowness, wire.ExcessFaultShare = uint32(rated.InFlight), rated.Slowness, rated.ExcessFaultShare
	if parts, ok := rated.Parts.Get(); ok {
		wire.Parts = &opsv1.ScoreParts{
			Work: rounded(parts.Work), Wait: rounded(parts.Wait), Way: rounded(parts.Way), Limits: rounded(parts.Limits), Faults: rounded(parts.Faults),
		}
		wire.Score = time.Duration(rated.Score).Round(time.Microsecond).Seconds()
	}
	if load, ok := rated.Load.Get(); ok {
		wire.Load = &opsv1.ReportedLoad{Age: rounded(rated.LoadAge), Running: uint32(load.Outstanding), Queued: uint32(load.Queued)}
		if left, ok := load.Left.Get(); ok {
			wire.Load.SlotWait, wire.Load.Drain = rounded(left.SlotWait), rounded(left.Drain)
		}
	}
	return wire
}

// statusOf says why a rated owner is not in the choice, or what is special about it.
func statusOf(rated route.Appraisal) string {
	var status []string
	if rated.Ejected {
		status = append(status, "ejected as much slower than the others")
	}
	if rated.Probe {
		status = append(status, "probed by the next request")
	}
	if rated.Far {
		status = append(status, "a nearer one answers within the aim")
	}
	if rated.WarmUpShare < 1 {
		status = append(status, fmt.Sprintf("warms up, %.0f%% of its slots count", math.Floor(100*rated.WarmUpShare)))
	}
	return strings.Join(status, "; ")
}

func previewToProto(preview admit.Preview) *opsv1.LocalAdmission {
	wire := &opsv1.LocalAdmission{
		Verdict: "queue", Refused: refusalToProto(preview.Refused), Wait: rounded(preview.Wait), Expected: rounded(preview.Expected),
		Evicts: uint32(preview.Evicts), Slots: uint32(preview.Slots), Running: uint32(preview.Running), Queued: uint32(preview.Queued),
	}
	switch {
	case preview.Refused != nil:
		wire.Verdict = "refuse"
	case preview.Runs:
		wire.Verdict = "run"
	}
	return wire
}

func refusalToProto(err *fault.Error) *opsv1.Refusal {
	if err == nil {
		return nil
	}
	return &opsv1.Refusal{
		Kind: err.Kind.String(), Message: err.Message, HttpStatus: uint32(fault.StatusOf(err.Kind).HTTPStatus), RetryAfter: rounded(err.RetryAfter),
	}
}

// FaultFromRefusal returns the error that a refusal states, or nil for no refusal.
func FaultFromRefusal(wire *opsv1.Refusal) *fault.Error {
	if wire == nil {
		return nil
	}
	kind, _ := fault.ParseKind(wire.GetKind())
	return fault.New(kind, "%s", wire.GetMessage()).WithRetryAfter(wire.GetRetryAfter().AsDuration())
}

// rounded converts a duration to whole microseconds.
func rounded(duration time.Duration) *durationpb.Duration {
	return durationpb.New(duration.Round(time.Microsecond))
}
