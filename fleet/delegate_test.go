package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

// delegates returns the running nodes that are delegates.
func (ms *mesh) delegates() []*meshNode {
	var delegates []*meshNode
	for _, nd := range ms.live() {
		if nd.table.IsDelegate() {
			delegates = append(delegates, nd)
		}
	}
	return delegates
}

// findMissingDelegate describes a zone whose joined nodes do not have two delegates, or
// as many as there are joined nodes that reach the platform. It returns "" if there is
// none. The nodes of a mesh without a version do not join.
func (ms *mesh) findMissingDelegate() string {
	eligible, delegates := map[types.Zone]int{}, map[types.Zone]int{}
	for _, nd := range ms.live() {
		self := nd.table.Self()
		if !nd.table.Joined() {
			return ""
		}
		if !self.Detached {
			eligible[self.Zone]++
		}
		if nd.table.IsDelegate() {
			delegates[self.Zone]++
		}
	}
	for zone, count := range eligible {
		if delegates[zone] != min(2, count) {
			return fmt.Sprintf("%s has %d delegates of %d nodes that reach the platform\n%s", zone, delegates[zone], count, strings.Join(ms.events, "\n"))
		}
	}
	return ""
}

// TestDetachedDelegateIsReplaced checks that the zone of a delegate which does not reach
// the platform has another delegate within a second, and that the delegate returns.
func TestDetachedDelegateIsReplaced(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		ms := newMesh(seed, 16)
		ms.hold(ms.nodes[0], 1)
		ms.advance(20 * time.Second)
		first := ms.delegates()
		is.Equal(len(first), 4) // two in each of two zones
		detached := types.NewSet[types.InstanceID]()
		for _, nd := range first {
			detached = detached.With(nd.table.Self().ID)
			ms.execute(nd, nd.table.SetDetached(true))
		}
		ms.advance(time.Second)
		is.Equal(len(ms.delegates()), 4)
		for _, nd := range ms.delegates() {
			is.True(!detached.Has(nd.table.Self().ID))
		}
		ms.advance(20 * time.Second)
		is.Equal(ms.findDisagreement(), "")
		for _, nd := range first {
			ms.execute(nd, nd.table.SetDetached(false))
		}
		ms.advance(20 * time.Second)
		is.Equal(ms.findDisagreement(), "")
		is.Equal(ms.delegates(), first)
	}
}

// TestNoDelegateIfAllAreDetached checks that the detached nodes of a zone know how many
// they are, so that they can share the attempts to reach the platform.
func TestNoDelegateIfAllAreDetached(t *testing.T) {
	is := is.New(t)
	ms := newMesh(1, 8)
	ms.hold(ms.nodes[0], 1)
	ms.advance(20 * time.Second)
	for _, nd := range ms.nodes {
		ms.execute(nd, nd.table.SetDetached(true))
	}
	ms.advance(20 * time.Second)
	is.Equal(len(ms.delegates()), 0)
	for _, nd := range ms.nodes {
		is.Equal(nd.table.DetachedInZone(), 4)
		is.Equal(nd.table.Self().Status, fleet.Alive)
	}
}
