package codec

import (
	"time"

	"sequoiamill.example/sequoiamill/api/peerv1"
	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

func blameToProto(report blame.Report) *peerv1.Blame {
	if report.Hash == 0 && len(report.Crashes) == 0 && len(report.Clears) == 0 {
		return nil
	}
	wire := &peerv1.Blame{Hash: report.Hash}
	for _, crash := range report.Crashes {
		item := &peerv1.Crash{Instance: string(crash.Source), Number: crash.Number, AgeMillis: crash.Age.Milliseconds()}
		for _, run := range crash.Runs {
			item.Runs = append(item.Runs, &peerv1.Run{Content: uint64(run.Content), ElapsedMillis: run.Elapsed.Milliseconds()})
		}
		wire.Crashes = append(wire.Crashes, item)
	}
	for _, cleared := range report.Clears {
		wire.Clears = append(wire.Clears, &peerv1.Clear{
			Content: uint64(cleared.Content), Instance: string(cleared.Source), Number: cleared.Number, AgeMillis: cleared.Age.Milliseconds(),
		})
	}
	return wire
}

func blameFromProto(wire *peerv1.Blame) (blame.Report, error) {
	report := blame.Report{Hash: wire.GetHash()}
	if len(wire.GetCrashes()) > blame.MaxReported || len(wire.GetClears()) > blame.MaxReported {
		return report, fault.New(fault.InvalidInput, "peer message: evidence of more than %d crashes or clears", blame.MaxReported)
	}
	for _, item := range wire.GetCrashes() {
		crash := blame.CrashReport{Source: types.InstanceID(item.GetInstance()), Number: item.GetNumber(), Age: ageFromProto(item.GetAgeMillis())}
		if item.GetInstance() == "" || len(item.GetInstance()) > maxNameLength || len(item.GetRuns()) > blame.MaxRuns {
			return report, fault.New(fault.InvalidInput, "peer message: a crash has no valid instance or more than %d runs", blame.MaxRuns)
		}
		for _, run := range item.GetRuns() {
			crash.Runs = append(crash.Runs, blame.Run{Content: types.ContentHash(run.GetContent()), Elapsed: ageFromProto(run.GetElapsedMillis())})
		}
		report.Crashes = append(report.Crashes, crash)
	}
	for _, item := range wire.GetClears() {
		if item.GetInstance() == "" || len(item.GetInstance()) > maxNameLength {
			return report, fault.New(fault.InvalidInput, "peer message: a clear has no valid instance")
		}
		report.Clears = append(report.Clears, blame.ClearReport{
			Content: types.ContentHash(item.GetContent()), Source: types.InstanceID(item.GetInstance()), Number: item.GetNumber(), Age: ageFromProto(item.GetAgeMillis()),
		})
	}
	return report, nil
}

// ageFromProto limits an age that a peer reports to the range from 0 to a day.
func ageFromProto(millis int64) time.Duration {
	const day = 24 * time.Hour
	return time.Duration(min(max(millis, 0), day.Milliseconds())) * time.Millisecond
}
