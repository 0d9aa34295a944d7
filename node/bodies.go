package node

import (
	"fmt"
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/memory"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/trace"
)

// seriesGap is the time without an occurrence after which the next one begins a new series.
const seriesGap = 10 * time.Second

// series finds the first of several occurrences that follow each other closely. Only that
// one is recorded as an event.
type series struct {
	mu   sync.Mutex
	last time.Time
}

// begins notes an occurrence and reports whether it is the first of a series.
func (sr *series) begins(now time.Time) bool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	first := sr.last.IsZero() || now.Sub(sr.last) >= seriesGap
	sr.last = now
	return first
}

// bodySeries are the series of decisions on bodies of requests.
type bodySeries struct{ refused, givenUp, late series }

func (nd *Node) newBodyBudget() *memory.Budget {
	limit := nd.settings.BodyMemory
	if limit == 0 {
		limit = proxy.DefaultBodyMemory(nd.settings.MaxBody)
	}
	return memory.NewBudget(limit,
		memory.WithRefused(func() { nd.onBody(trace.BodiesRefused, trace.BodyRefused, &nd.bodySeries.refused) }),
		memory.WithGivenUp(func() { nd.onBody(trace.BodiesGivenUp, trace.BodyGivenUp, &nd.bodySeries.givenUp) }))
}

func (nd *Node) onBodyLate() { nd.onBody(trace.BodiesLate, trace.BodyLate, &nd.bodySeries.late) }

// onBody counts a decision on a body, and records the first of a series.
func (nd *Node) onBody(counter trace.Counter, kind trace.Kind, kept *series) {
	nd.metrics.count(counter)
	if kept.begins(nd.now()) {
		detail := fmt.Sprintf("%d of %d bytes of bodies are taken", nd.bodies.Held(), nd.bodies.Limit())
		nd.recordEvent(trace.Event{Kind: kind, Subject: nd.settings.Instance, Detail: detail})
	}
}
