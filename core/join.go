package core

import (
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// pauseLimit is the longest time between two ticks of a process that was not
// paused. It is below the time in which other nodes hold a silent one to be
// dead.
const pauseLimit = 3 * time.Second

// RootRead is the event that the platform's current root was read.
type RootRead struct {
	// Epoch is that of the effect that asked for it.
	Epoch uint64
	// Version is that of the root, or 0 if there is none.
	Version types.Version
}

// Event marks the type as an event.
func (RootRead) Event() {}

// ReadRoot is the effect to read the platform's root once.
type ReadRoot struct{ Epoch uint64 }

// Effect marks the type as an effect.
func (ReadRoot) Effect() {}

// noticePause makes the node join again if its process did not run for long.
// It looks at every event, as work that arrived meanwhile may be handled
// before the next tick.
func (st *State) noticePause(event types.Event, now time.Time) []types.Effect {
	gap := now.Sub(st.lastTick)
	if tick, ok := event.(Tick); ok {
		gap += tick.Suspended
	}
	if st.lastTick.IsZero() || gap <= pauseLimit {
		return nil
	}
	st.lastTick = now
	st.fleet.Rejoin(now)
	st.keys.ledger.Renew(now)
	refused := fault.New(fault.NotReady, "the node was paused").WithRetryAfter(comeBackSoon)
	effects := []types.Effect{
		trace.Event{Kind: trace.NodeRejoined, Subject: st.fleet.Self().ID, Detail: "paused for " + gap.Truncate(time.Millisecond).String()},
		ReadRoot{Epoch: st.fleet.Epoch()},
	}
	return append(effects, st.gate.Clear(refused)...)
}

func (st *State) rootRead(event RootRead) []types.Effect {
	st.current = event.Version
	st.fleet.Want(event.Version)
	st.fleet.RootRead(event.Epoch)
	return nil
}

// joined reports whether the node knows its peers, and has what the platform
// named as current in force unless it was refused.
func (st *State) joined() bool {
	refused := st.conf.Refused()
	current := st.conf.Current().Version() >= st.current || refused.Err != nil && refused.Version >= st.current
	return current && st.fleet.Joined()
}

// fleetEvents returns the events of the time line that effects of the fleet
// stand for.
func (st *State) fleetEvents(effects []types.Effect, now time.Time) []types.Effect {
	var events []types.Effect
	for _, effect := range effects {
		switch ef := effect.(type) {
		case fleet.StatusChanged:
			events = append(events, trace.Event{Kind: trace.MemberChanged, Subject: ef.Member.ID, Detail: stateOf(ef.Member)})
		case fleet.Duplicated:
			detail := "an earlier process still runs at " + string(ef.Older.Address)
			events = append(events, trace.Event{Kind: trace.InstanceDuplicated, Subject: ef.Older.ID, Detail: detail})
		case fleet.Superseded:
			if !st.stop.asked {
				detail := "a later process runs at " + string(ef.By.Address)
				events = append(events, trace.Event{Kind: trace.InstanceDuplicated, Subject: ef.By.ID, Detail: detail})
				events = append(events, st.stopAsked(now)...)
			}
		}
	}
	return events
}

func stateOf(member fleet.Member) string {
	if member.Leaving && member.Status == fleet.Alive {
		return "leaving"
	}
	return member.Status.String()
}
