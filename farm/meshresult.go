package farm

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/cost"
	"sequoiamill.example/sequoiamill/route"
)

// MeshCall is a request of a mesh and what became of it.
type MeshCall struct {
	Heavy               bool
	ArrivedAt, EndedAt  time.Time
	Attempts            int
	OtherZone, Answered bool
	// Zone is the zone of the entry node.
	Zone int

	node      *meshNode
	work      time.Duration
	features  cost.Features
	factor    float64
	remaining []route.Candidate
	due       time.Time
	aim       time.Time
}

// MeshResult is what the callers of a mesh got.
type MeshResult struct {
	Calls []*MeshCall
	aim   time.Duration
}

// share returns the share of the calls that filter selects for which wanted holds. Calls
// of the first fifth, in which costs are learned, don't count.
func (re MeshResult) share(filter, wanted func(*MeshCall) bool) float64 {
	total, found := 0, 0
	for _, cl := range re.Calls[len(re.Calls)/5 : len(re.Calls)*19/20] {
		if filter(cl) {
			total++
			if wanted(cl) {
				found++
			}
		}
	}
	return float64(found) / float64(max(total, 1))
}

// Late returns the share of the calls that were not answered within the aim.
func (re MeshResult) Late() float64 {
	return re.share(allCalls, func(cl *MeshCall) bool { return !cl.Answered || cl.EndedAt.Sub(cl.ArrivedAt) > re.aim })
}

// AvoidablyLate returns the share of the calls that were not answered within the aim,
// though their work alone takes less time than that, among the calls of which that holds.
func (re MeshResult) AvoidablyLate() float64 {
	could := func(cl *MeshCall) bool { return cl.work < re.aim }
	return re.share(could, func(cl *MeshCall) bool { return !cl.Answered || cl.EndedAt.Sub(cl.ArrivedAt) > re.aim })
}

// Unserved returns the share of the calls, heavy or not, that were not answered.
func (re MeshResult) Unserved(heavy bool) float64 {
	return re.share(func(cl *MeshCall) bool { return cl.Heavy == heavy }, func(cl *MeshCall) bool { return !cl.Answered })
}

// OtherZone returns the share of the calls that were sent to another zone.
func (re MeshResult) OtherZone() float64 {
	return re.share(allCalls, func(cl *MeshCall) bool { return cl.OtherZone })
}

func allCalls(*MeshCall) bool { return true }

// P99 returns the 99th percentile of the durations of the answered calls, heavy or not.
func (re MeshResult) P99(heavy bool) time.Duration {
	var durations []time.Duration
	for _, cl := range re.Calls[len(re.Calls)/5:] {
		if cl.Answered && cl.Heavy == heavy {
			durations = append(durations, cl.EndedAt.Sub(cl.ArrivedAt))
		}
	}
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)*99/100]
}
