package core

import (
	"strconv"
	"time"

	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// RootRead reports that the platform's configuration root was read. The root is
// the object that gives the current version of the configuration.
type RootRead struct {
	// Epoch is the join epoch of the ReadRoot effect that requested the read. The
	// join epoch increases each time the node rejoins the fleet. A read that was
	// requested in an earlier epoch does not count toward joining.
	Epoch uint64
	// Version is the version of the root, or 0 if there is no root.
	Version types.Version
}

// Event implements types.Event.
func (RootRead) Event() {}

// ReadRoot is the effect to read the platform's configuration root once.
type ReadRoot struct{ Epoch uint64 }

// Effect implements types.Effect.
func (ReadRoot) Effect() {}

func (st *State) rootRead(event RootRead) []types.Effect {
	st.rootVersion = event.Version
	st.fleet.WantVersion(event.Version)
	st.fleet.RootRead(event.Epoch)
	return nil
}

// joined reports whether the node has joined the fleet and its configuration is
// up to date with the platform's root as last read. A root version that was
// rejected as invalid does not keep the node from joining.
func (st *State) joined() bool {
	refused := st.config.Refused()
	current := st.config.Current().Version() >= st.rootVersion || refused.Err != nil && refused.Version >= st.rootVersion
	return current && st.fleet.Joined()
}

// timelineEvents returns the timeline events for the membership changes among
// effects. It starts a graceful stop if a later process of the same instance has
// replaced this one, and applies the departure that peers remember for this node.
func (st *State) timelineEvents(effects []types.Effect, now time.Time) []types.Effect {
	var events []types.Effect
	for _, effect := range effects {
		switch ef := effect.(type) {
		case fleet.StatusChanged:
			events = append(events, trace.Event{Kind: trace.MemberChanged, Subject: ef.Member.ID, Detail: stateOf(ef.Member)})
			if ef.Member.Detached {
				st.readUnanswered(ef.Member, now)
			}
		case fleet.Duplicated:
			detail := "an earlier process still runs at " + string(ef.Older.Address)
			events = append(events, trace.Event{Kind: trace.InstanceDuplicated, Subject: ef.Older.ID, Detail: detail})
		case fleet.VersionLearned:
			detail := "in force " + strconv.FormatUint(uint64(st.config.Current().Version()), 10)
			events = append(events, trace.Event{Kind: trace.ConfigLearned, Version: ef.Version, Subject: ef.Peer, Detail: detail})
		case fleet.PullConfig:
			events = append(events, trace.Event{Kind: trace.ConfigPullStarted, Version: ef.Version, Subject: ef.Peer})
		case fleet.DepartureLearned:
			events = append(events, st.departureLearned(ef.Departure, now)...)
		case fleet.Superseded:
			if !st.stop.closed {
				detail := "a later process runs at " + string(ef.By.Address)
				events = append(events, trace.Event{Kind: trace.InstanceDuplicated, Subject: ef.By.ID, Detail: detail})
				events = append(events, st.superseded(now)...)
			}
		}
	}
	return events
}

// pullEnded records the end of a pull.
func pullEnded(event fleet.PullEnded) types.Effect {
	detail := "after " + event.After.Round(time.Millisecond).String()
	if event.Err != nil {
		detail += ": " + event.Err.Error()
	}
	return trace.Event{Kind: trace.ConfigPullEnded, Version: event.Version, Subject: event.Peer, Detail: detail}
}

// stateOf returns the state of a member as shown in the timeline.
func stateOf(member fleet.Member) string {
	switch {
	case member.Leaving && member.Status == fleet.Alive:
		return "leaving"
	case member.Detached && member.Status == fleet.Alive:
		return "detached"
	default:
		return member.Status.String()
	}
}
