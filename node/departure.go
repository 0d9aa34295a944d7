package node

import (
	"context"
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// departureAckLimit is how long the acknowledgement of a departure waits
	// until the node's record on the platform contains the departure.
	departureAckLimit = 500 * time.Millisecond
	// recordReadLimit is how long a started node gives its upstream no work while
	// the platform does not serve the node's record.
	recordReadLimit = time.Second
)

// departureWire is the part of a node's directory record that describes the
// latest departure of a process of the node's upstream.
type departureWire struct {
	Process       string `json:"process"`
	StartedMillis int64  `json:"started-millis,omitempty"`
	Sequence      uint64 `json:"sequence,omitempty"`
	Ended         bool   `json:"ended,omitempty"`
}

func departureToWire(departure fleet.Departure) departureWire {
	wire := departureWire{Process: string(departure.Process), Sequence: departure.Sequence, Ended: departure.Ended}
	if !departure.StartedAt.IsZero() {
		wire.StartedMillis = departure.StartedAt.UnixMilli()
	}
	return wire
}

func (w departureWire) departure() types.Option[fleet.Departure] {
	if w == (departureWire{}) {
		return types.None[fleet.Departure]()
	}
	departure := fleet.Departure{Process: types.ProcessID(w.Process), Sequence: w.Sequence, Ended: w.Ended}
	if w.StartedMillis != 0 {
		departure.StartedAt = time.UnixMilli(w.StartedMillis).UTC()
	}
	return types.Some(departure)
}

// departureWrites tracks the writes of departures to the node's directory
// record.
type departureWrites struct {
	mu sync.Mutex
	// written is closed when the latest departure has been written. It is nil if
	// there was none.
	written chan struct{}
}

// begin starts to track the write of a departure. The caller must close the
// returned channel once the departure is written.
func (dw *departureWrites) begin() chan struct{} {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	dw.written = make(chan struct{})
	return dw.written
}

// wait waits until the latest departure is written, at most for the given time.
// It reports whether the departure is written.
func (dw *departureWrites) wait(limit time.Duration) bool {
	dw.mu.Lock()
	written := dw.written
	dw.mu.Unlock()
	if written == nil {
		return true
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-written:
		return true
	case <-timer.C:
		return false
	}
}

// writeDeparture writes the departure in the node's membership record to the
// node's directory record. It tries again until the platform takes the record.
func (nd *Node) writeDeparture(ctx context.Context, written chan struct{}) {
	pause := newBackoff()
	for ctx.Err() == nil {
		err := nd.writeRecord(ctx)
		if err == nil {
			close(written)
			return
		}
		pause.sleep(ctx)
	}
}

// Announce passes an announcement of the local upstream to the state machine. It
// returns once the announcement may be acknowledged: if the upstream's process
// departs, when the platform has the departure on record, or after
// departureAckLimit. The upstream gets no new work in either case.
func (nd *Node) Announce(announcement core.Announcement) {
	nd.loop.post(core.UpstreamAnnounced{Announcement: announcement})
	if !announcement.Leaving && !announcement.Ending {
		return
	}
	if !nd.departures.wait(departureAckLimit) {
		nd.recordEvent(trace.Event{Kind: trace.DepartureUnrecorded, Subject: nd.settings.Instance, Detail: "process " + string(announcement.Process)})
	}
}
