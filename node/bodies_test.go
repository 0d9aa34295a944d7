package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/trace"
)

// TestBodiesOfACrowdAreTold checks that each refused body is counted and that one event
// tells of a series.
func TestBodiesOfACrowdAreTold(t *testing.T) {
	check := is.New(t)
	const anyPort = "127.0.0.1:0"
	settings := Settings{
		Instance: "a", Zone: "kolkata", Listen: anyPort, PeerListen: anyPort, AdminListen: anyPort, MaxBody: 1 << 20, BodyMemory: 1 << 20,
		StopLimit: time.Second, KeyLimits: flow.KeyLimits{Retention: time.Minute}, Policies: core.DefaultPolicies(), PlainText: AllPlainText(),
	}
	_, err := New(settings, plat.NewMemory().Store())
	check.True(err != nil) // a body of the greatest size has no room
	settings.BodyMemory = 4 << 20
	nd, err := New(settings, plat.NewMemory().Store())
	check.NoErr(err)
	now := time.Now()
	nd.now = func() time.Time { return now }
	served := nd.bodies.Open(now, nil)
	check.NoErr(served.Take(1000, now))
	for range 3 {
		now = now.Add(seriesGap - time.Second)
		check.True(nd.bodies.Open(now, nil).Take(4<<20, now) != nil)
	}
	now = now.Add(seriesGap)
	nd.onBodyLate()
	var metrics bytes.Buffer
	nd.metrics.write(&metrics)
	for _, line := range []string{"bodies_refused_total 3", "bodies_given_up_total 0", "bodies_late_total 1", "body_bytes_held 1000"} {
		check.True(strings.Contains(metrics.String(), "sequoiamill_"+line+"\n"))
	}
	var kinds []trace.Kind
	for _, entry := range nd.ring.Select(trace.Filter{}) {
		kinds = append(kinds, entry.Event.Kind)
	}
	check.Equal(kinds, []trace.Kind{trace.BodyRefused, trace.BodyLate})
}
