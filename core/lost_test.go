package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// meshSize is a size of a mesh and the time in which its users want a version in force.
type meshSize struct {
	nodes, zones int
	bound        time.Duration
}

var (
	meshSizes  = []meshSize{{6, 1, applyTime}, {20, 1, applyTime}, {20, 3, applyTime}, {60, 3, 2500 * time.Millisecond}}
	largeSizes = []meshSize{{300, 1, 3 * time.Second}, {300, 3, 3 * time.Second}}
)

// lose takes the power of the given number of nodes of each zone that are up, those first that
// would read the store for the others.
func (ms *versionMesh) lose(count func(zone int) int) {
	var lost []types.InstanceID
	zones := types.NewSet[types.Zone]()
	for _, nd := range ms.nodes {
		if !nd.up || zones.Has(nd.zone) {
			continue
		}
		zones = zones.With(nd.zone)
		ranking := nd.state.Fleet().ZoneRanking()
		left := count(len(ranking))
		for _, id := range ranking {
			if left > 0 && ms.nodeAt(types.Address(id+":1")).up {
				lost, left = append(lost, id), left-1
			}
		}
	}
	for _, nd := range ms.nodes {
		if slices.Contains(lost, types.InstanceID(nd.id)) {
			nd.up, nd.disturbed = false, true
		}
	}
}

// TestVersionArrivesWhateverReadersAreLost guards against versions that no node reads until
// failure detection finds the readers: of each zone, the first nodes by rank lose power at
// once, more than a list of readers and standbys has.
func TestVersionArrivesWhateverReadersAreLost(t *testing.T) {
	share := func(part float64) func(int) int {
		return func(zone int) int { return max(int(part*float64(zone)), 1) }
	}
	plays := []struct {
		name  string
		count func(zone int) int
		again bool
		large bool // also in the large sizes
	}{
		{name: "three of each zone", count: func(zone int) int { return min(3, zone-1) }},
		{name: "a sixth", count: share(0.16)},
		{name: "a third", count: share(0.35), large: true},
		{name: "half", count: share(0.5)},
		{name: "three, and two a second later", count: func(zone int) int { return min(3, zone-1) }, again: true},
	}
	leads := []time.Duration{4 * callTime, 300 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond}
	for number, play := range plays {
		sizes := meshSizes
		if play.large {
			sizes = append(slices.Clone(sizes), largeSizes...)
		}
		for _, size := range sizes {
			t.Run(fmt.Sprintf("%s, %d nodes, %d zones", play.name, size.nodes, size.zones), func(t *testing.T) {
				for seed, lead := range leads {
					// Large meshes take long: each play has some of the leads, all plays all.
					if size.nodes > 20 && seed != number {
						continue
					}
					ms := newVersionMeshOf(uint64(seed), size.nodes, size.zones)
					ms.advance(time.Duration(2*seed) * tickTime)
					ms.lose(play.count)
					if play.again {
						ms.advance(time.Second)
						ms.lose(func(zone int) int { return min(2, zone-4) })
					}
					ms.advance(lead)
					ms.write()
					ms.advance(size.bound)
					if late := ms.late(); len(late) > 0 {
						t.Errorf("seed %d: the version, written %s after the loss, is late on %d nodes, %v", seed, lead, len(late), late[:min(len(late), 5)])
					}
				}
			})
		}
	}
}

// TestOnlyDelegatesReadWhileTheyAreHeard guards against a price for the above on quiet days.
func TestOnlyDelegatesReadWhileTheyAreHeard(t *testing.T) {
	const span = 20 * time.Second
	for _, size := range append(slices.Clone(meshSizes), largeSizes[1]) {
		ms := newVersionMeshOf(1, size.nodes, size.zones)
		ms.advance(5 * time.Second)
		before := ms.reads
		ms.advance(span)
		if reads, most := ms.reads-before, size.zones*int(span/(900*time.Millisecond)); reads > most {
			t.Errorf("%d nodes, %d zones: %d reads in %s, where delegates make %d", size.nodes, size.zones, reads, span, most)
		}
	}
}
