package codec

import (
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/api/peerv1"
	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// maxReasonLength is the maximum length of the reason of a phase in a message.
const maxReasonLength = 512

func rolloutsToProto(reports []canary.Report) []*peerv1.Rollout {
	var wires []*peerv1.Rollout
	for _, report := range reports {
		wire := &peerv1.Rollout{
			Order:      uint64(report.ID),
			Service:    string(report.Service),
			Version:    string(report.To),
			Sequence:   report.Sequence,
			AgeMillis:  report.Age.Milliseconds(),
			LeftMillis: report.Left.Milliseconds(),
			Phase:      peerv1.RolloutPhase(report.Phase),
			Reason:     shortened(report.Reason),
		}
		wire.Found = shortened(report.Found)
		for _, id := range report.Crossed {
			wire.Crossed = append(wire.Crossed, string(id))
		}
		for _, tally := range report.Tallies {
			wire.Tallies = append(wire.Tallies, tallyToProto(tally))
		}
		wires = append(wires, wire)
	}
	return wires
}

func shortened(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), maxReasonLength)], "")
}

func tallyToProto(tally canary.Tally) *peerv1.Tally {
	wire := &peerv1.Tally{Instance: string(tally.Instance), Epoch: tally.Epoch, Version: string(tally.Version)}
	for _, counted := range tally.Routes {
		wire.Routes = append(wire.Routes, &peerv1.RouteTally{
			Route: string(counted.Route), Answers: counted.Answers, Failures: counted.Failures, Durations: counted.Durations,
		})
	}
	return wire
}

func rolloutsFromProto(wires []*peerv1.Rollout) ([]canary.Report, error) {
	if len(wires) > canary.MaxReports {
		return nil, fault.New(fault.InvalidInput, "peer message: more than %d roll-outs", canary.MaxReports)
	}
	var reports []canary.Report
	for _, wire := range wires {
		if canary.Phase(wire.GetPhase()) > canary.Back {
			// A later build may have phases that this one does not know.
			continue
		}
		report, err := rolloutFromProto(wire)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func rolloutFromProto(wire *peerv1.Rollout) (canary.Report, error) {
	phase := canary.Phase(wire.GetPhase())
	switch {
	case wire.GetService() == "" || len(wire.GetService()) > maxDeclaredLength || wire.GetVersion() == "" || len(wire.GetVersion()) > maxNameLength:
		return canary.Report{}, fault.New(fault.InvalidInput, "peer message: the service or version of a roll-out is missing or too long")
	case phase < canary.Trial:
		return canary.Report{}, fault.New(fault.InvalidInput, "peer message: the roll-out of %q has no phase", wire.GetService())
	case len(wire.GetTallies()) > canary.MaxTallies, len(wire.GetCrossed()) > canary.MaxTallies,
		len(wire.GetReason()) > maxReasonLength, len(wire.GetFound()) > maxReasonLength:
		return canary.Report{}, fault.New(fault.InvalidInput, "peer message: the roll-out of %q has too many tallies or too long a reason", wire.GetService())
	}
	left := ageFromProto(wire.GetLeftMillis())
	if wire.GetLeftMillis() < 0 {
		left = -ageFromProto(-wire.GetLeftMillis())
	}
	report := canary.Report{
		ID:       canary.OrderID(wire.GetOrder()),
		Service:  types.ServiceName(wire.GetService()),
		To:       types.UpstreamVersion(wire.GetVersion()),
		Sequence: wire.GetSequence(),
		Age:      ageFromProto(wire.GetAgeMillis()),
		Left:     left,
		Phase:    phase,
		Reason:   wire.GetReason(),
		Found:    wire.GetFound(),
	}
	for _, id := range wire.GetCrossed() {
		if id == "" || len(id) > maxNameLength {
			return canary.Report{}, fault.New(fault.InvalidInput, "peer message: the roll-out of %q names no valid instance", wire.GetService())
		}
		report.Crossed = append(report.Crossed, types.InstanceID(id))
	}
	for _, item := range wire.GetTallies() {
		tally, err := tallyFromProto(item)
		if err != nil {
			return canary.Report{}, err
		}
		report.Tallies = append(report.Tallies, tally)
	}
	return report, nil
}

func tallyFromProto(wire *peerv1.Tally) (canary.Tally, error) {
	if wire.GetInstance() == "" || len(wire.GetInstance()) > maxNameLength || len(wire.GetVersion()) > maxNameLength || len(wire.GetRoutes()) > canary.MaxRoutes {
		return canary.Tally{}, fault.New(fault.InvalidInput, "peer message: a tally names no valid instance or version, or too many routes")
	}
	tally := canary.Tally{Instance: types.InstanceID(wire.GetInstance()), Epoch: wire.GetEpoch(), Version: types.UpstreamVersion(wire.GetVersion())}
	for _, counted := range wire.GetRoutes() {
		if len(counted.GetRoute()) > maxDeclaredLength || counted.GetFailures() > counted.GetAnswers() || len(counted.GetDurations()) > canary.DurationClasses {
			return canary.Tally{}, fault.New(fault.InvalidInput, "peer message: a tally of %q is not valid", wire.GetInstance())
		}
		tally.Routes = append(tally.Routes, canary.RouteTally{
			Route: types.RouteName(counted.GetRoute()), Answers: counted.GetAnswers(), Failures: counted.GetFailures(), Durations: counted.GetDurations(),
		})
	}
	return tally, nil
}

// RolloutToProto converts a roll-out to its form in the operators' API.
func RolloutToProto(status canary.Status) *opsv1.Rollout {
	return &opsv1.Rollout{
		Service:  string(status.Order.Service),
		Version:  string(status.Order.To),
		State:    status.Phase.State().String(),
		Phase:    status.Phase.String(),
		Reason:   status.Reason,
		Deadline: timestamppb.New(status.Order.Deadline.Truncate(time.Millisecond)),
	}
}
