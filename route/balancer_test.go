package route_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// harness runs the commands of a golden file against one load balancer.
type harness struct {
	balancer   *route.Balancer
	candidates []route.Candidate
	start, now time.Time
}

func TestBalance(t *testing.T) {
	datadriven.Walk(t, "testdata/balancer", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		h := &harness{balancer: route.NewBalancer(route.Adaptive(), route.WithSeed(1)), start: start, now: start}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				fields := strings.Fields(line)
				if d.Cmd == "upstreams" {
					h.candidates = append(h.candidates, h.upstream(fields))
					continue
				}
				out.WriteString(h.step(fields))
			}
			return out.String()
		})
	})
}

// upstream parses the fields id, place, slots and warm-up time. The place is local,
// same (the same availability zone) or other.
func (h *harness) upstream(fields []string) route.Candidate {
	slots, _ := strconv.Atoi(fields[2])
	warmUp, _ := time.ParseDuration(fields[3])
	return route.Candidate{
		ID: types.InstanceID(fields[0]), Local: fields[1] == "local", SameZone: fields[1] != "other",
		Slots: slots, ReadyAt: h.start, WarmUp: warmUp,
	}
}

// step runs one of these commands:
//
//	at TIME
//	pick ROUTE COUNT
//	begin UPSTREAM ROUTE COUNT
//	end UPSTREAM ROUTE COUNT ELAPSED [refused|failed|canceled|OUTSTANDING/QUEUED]
func (h *harness) step(fields []string) string {
	if fields[0] == "at" {
		after, _ := time.ParseDuration(fields[1])
		h.now = h.start.Add(after)
		return ""
	}
	count, _ := strconv.Atoi(fields[len(fields)-1])
	if fields[0] == "pick" {
		return h.pickLine(fields, count)
	}
	target := route.Candidate{ID: types.InstanceID(fields[1]), Route: types.RouteName(fields[2])}
	count, _ = strconv.Atoi(fields[3])
	for range count {
		if fields[0] == "begin" {
			h.balancer.AttemptStarted(target, h.now)
			continue
		}
		h.balancer.AttemptEnded(sampleOf(target, fields[4:]), h.now)
	}
	return ""
}

// sampleOf parses the arguments of an end command from ELAPSED on.
func sampleOf(target route.Candidate, fields []string) route.Sample {
	elapsed, _ := time.ParseDuration(fields[0])
	sample := route.Sample{ID: target.ID, Route: target.Route, Elapsed: elapsed}
	for _, field := range fields[1:] {
		sample.Refused = sample.Refused || field == "refused"
		sample.Failed = field == "failed"
		sample.Canceled = field == "canceled"
		_, _ = fmt.Sscanf(field, "%d/%d", &sample.Load.Outstanding, &sample.Load.Queued)
	}
	return sample
}

// burst is the number of picks after which the harness cancels all attempts in
// flight.
const burst = 40

// pick returns how often each upstream was chosen in count picks.
func (h *harness) pick(name types.RouteName, count int) map[types.InstanceID]int {
	picked := map[types.InstanceID]int{}
	var open []route.Candidate
	for number := range count {
		target, _ := h.balancer.Pick(name, h.candidates, h.now)
		h.balancer.AttemptStarted(target, h.now)
		open = append(open, target)
		picked[target.ID]++
		if number%burst != burst-1 {
			continue
		}
		for _, target := range open {
			h.balancer.AttemptEnded(route.Sample{ID: target.ID, Route: name, Canceled: true}, h.now)
		}
		open = nil
	}
	return picked
}

func (h *harness) pickLine(fields []string, count int) string {
	picked := h.pick(types.RouteName(fields[1]), count)
	parts := []string{strings.Join(fields, " ") + ":"}
	for _, candidate := range h.candidates {
		parts = append(parts, fmt.Sprintf("%s=%d", candidate.ID, picked[candidate.ID]))
	}
	return strings.Join(parts, " ") + "\n"
}

// TestEjectsAtMostHalf checks that each pick excludes at most half of the upstreams,
// for random sequences of samples.
func TestEjectsAtMostHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(1, 6).Draw(t, "upstreams")
		policy := route.Adaptive()
		choose := policy.Choose
		policy.Choose = func(scores []float64, source *rand.Rand) int {
			excluded := 0
			for _, score := range scores {
				if math.IsInf(score, 1) {
					excluded++
				}
			}
			if len(scores) != number || 2*excluded > number {
				t.Fatalf("%d of %d upstreams are excluded: %v", excluded, number, scores)
			}
			return choose(scores, source)
		}
		h := &harness{balancer: route.NewBalancer(policy), now: time.Unix(1000, 0)}
		for i := range number {
			h.candidates = append(h.candidates, route.Candidate{ID: types.InstanceID(fmt.Sprint(i)), SameZone: true, Slots: 10})
		}
		for range rapid.IntRange(0, 60).Draw(t, "samples") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond)
			target := h.candidates[rapid.IntRange(0, number-1).Draw(t, "upstream")]
			h.balancer.AttemptStarted(target, h.now)
			elapsed := time.Duration(rapid.IntRange(1, 2000).Draw(t, "elapsed")) * time.Millisecond
			h.balancer.AttemptEnded(route.Sample{ID: target.ID, Elapsed: elapsed, Failed: rapid.Bool().Draw(t, "failed")}, h.now)
			if _, ok := h.balancer.Pick("", h.candidates, h.now); !ok {
				t.Fatal("no upstream was chosen")
			}
		}
	})
}

// TestSingleCandidateKeepsEjection checks that an upstream stays ejected after a
// pick in which it is the only candidate, as on a retry that excludes the others.
func TestSingleCandidateKeepsEjection(t *testing.T) {
	check := is.New(t)
	h := &harness{balancer: route.NewBalancer(route.Adaptive()), now: time.Unix(1000, 0)}
	for i := range 3 {
		h.candidates = append(h.candidates, route.Candidate{ID: types.InstanceID(fmt.Sprint(i)), SameZone: true, Slots: 10})
	}
	for number := range 30 {
		target := h.candidates[number%3]
		elapsed := 10 * time.Millisecond
		if target.ID == "0" {
			elapsed = 60 * time.Millisecond
		}
		h.balancer.AttemptStarted(target, h.now)
		h.balancer.AttemptEnded(route.Sample{ID: target.ID, Elapsed: elapsed}, h.now)
	}
	check.True(h.pick("", burst)["0"] == 0)
	target, ok := h.balancer.Pick("", h.candidates[:1], h.now)
	check.True(ok && target.ID == "0")
	h.now = h.now.Add(2 * time.Second)
	check.True(h.pick("", burst)["0"] == 0) // the slowness of upstream 0 is still above reinstateBelow
}

func TestForgetsIdleUpstreams(t *testing.T) {
	check := is.New(t)
	balancer := route.NewBalancer(route.Adaptive())
	now := time.Unix(1000, 0)
	for number := range 5000 {
		now = now.Add(time.Second)
		candidate := route.Candidate{ID: types.InstanceID(fmt.Sprint(number)), Slots: 10}
		target, _ := balancer.Pick("r", []route.Candidate{candidate}, now)
		balancer.AttemptStarted(target, now)
		balancer.AttemptEnded(route.Sample{ID: target.ID, Route: "r", Elapsed: time.Millisecond}, now)
	}
	check.True(balancer.Len() < 100) // upstreams without attempts for a minute are forgotten
}

// TestEntriesDoNotHerd checks that many entry nodes without observations, which
// all choose at the same time, spread their attempts over the upstreams instead
// of choosing the same one.
func TestEntriesDoNotHerd(t *testing.T) {
	check := is.New(t)
	counts := map[types.InstanceID]int{}
	const entries = 910
	for entry := range entries {
		h := &harness{balancer: route.NewBalancer(route.Adaptive(), route.WithSeed(uint64(entry))), now: time.Unix(1000, 0)}
		for i := range 5 {
			h.candidates = append(h.candidates, route.Candidate{ID: types.InstanceID(fmt.Sprint(i)), SameZone: true, Slots: 10})
		}
		target, _ := h.balancer.Pick("r", h.candidates, h.now)
		counts[target.ID]++
	}
	for _, count := range counts {
		check.True(count > entries/10 && count < entries*3/10)
	}
	check.Equal(len(counts), 5)
}

func BenchmarkPick(b *testing.B) {
	for _, known := range []int{17, 200, 910} {
		b.Run(fmt.Sprintf("known-%d", known), func(b *testing.B) {
			balancer := route.NewBalancer(route.Adaptive())
			now := time.Unix(1000, 0)
			var candidates []route.Candidate
			for number := range known {
				target := route.Candidate{ID: types.InstanceID(fmt.Sprintf("i%d", number)), SameZone: number%2 == 0, Slots: 10, Route: "r"}
				candidates = append(candidates, target)
				balancer.AttemptStarted(target, now)
				balancer.AttemptStarted(target, now)
				balancer.AttemptEnded(route.Sample{ID: target.ID, Route: "r", Elapsed: 10 * time.Millisecond}, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				target, _ := balancer.Pick("r", candidates[:5], now)
				balancer.AttemptStarted(target, now)
				balancer.AttemptEnded(route.Sample{ID: target.ID, Route: "r", Elapsed: 10 * time.Millisecond}, now)
			}
		})
	}
}
