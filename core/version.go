package core

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// observeInterval is the time between two looks at the versions of all upstreams.
	observeInterval = 500 * time.Millisecond
	// holdTime is how long a version that is new at its service gets no more than one on
	// trial, as the order for it may be on its way.
	holdTime = 3 * time.Second
	// heldPart is the part of a service's upstreams that must be of other versions for a new
	// version to be held. Late in a replacement of all upstreams, the few old ones could
	// not take the work.
	heldPart = 3
)

// knownVersions are the versions that a service's upstreams have had, and until when each
// is held.
type knownVersions struct {
	heldUntil map[types.UpstreamVersion]time.Time
	// primary is a version that is known for long.
	primary types.UpstreamVersion
	// since is when this node first saw an upstream of the service.
	since time.Time
}

func versionOf(owner fleet.Member) types.UpstreamVersion {
	upstream, _ := owner.Upstream.Get()
	return upstream.Version
}

// observeVersions looks for new versions.
func (st *State) observeVersions(now time.Time) {
	rs := &st.rollouts
	if now.Sub(rs.observedAt) < observeInterval || !st.joined() {
		return
	}
	rs.observedAt = now
	byService := map[types.ServiceName][]fleet.Member{}
	for _, owner := range st.fleet.Owners(func(fleet.Member) bool { return true }) {
		byService[owner.Service] = append(byService[owner.Service], owner)
	}
	for service, owners := range byService {
		rs.versions(service, owners, now).observe(owners, now)
	}
}

// versions returns what is known of a service's versions.
func (rs *rollouts) versions(service types.ServiceName, owners []fleet.Member, now time.Time) *knownVersions {
	known := rs.services[service]
	if known == nil && len(owners) > 0 {
		known = &knownVersions{heldUntil: map[types.UpstreamVersion]time.Time{}, since: now}
		known.observe(owners, now)
		rs.services[service] = known
	}
	return known
}

// settle finds the version that is known for long while the service is new to this node: the
// one whose upstreams have been ready for longest.
func (kv *knownVersions) settle(owners []fleet.Member) {
	oldest := versionOf(slices.MinFunc(owners, func(a, b fleet.Member) int { return readyAt(a).Compare(readyAt(b)) }))
	if _, ok := kv.heldUntil[oldest]; ok && oldest == kv.primary {
		return
	}
	for version := range kv.heldUntil {
		kv.heldUntil[version] = kv.since.Add(holdTime)
	}
	kv.primary, kv.heldUntil[oldest] = oldest, time.Time{}
}

func readyAt(owner fleet.Member) time.Time {
	upstream, _ := owner.Upstream.Get()
	return upstream.ReadyAt
}

// observe adds the versions that are new and forgets those that are gone, so that one which
// comes back is held again.
func (kv *knownVersions) observe(owners []fleet.Member, now time.Time) {
	if now.Sub(kv.since) < holdTime {
		kv.settle(owners)
	}
	counts := map[types.UpstreamVersion]int{}
	for _, owner := range owners {
		version := versionOf(owner)
		counts[version]++
		if _, ok := kv.heldUntil[version]; !ok {
			kv.heldUntil[version] = now.Add(holdTime)
		}
	}
	for version := range kv.heldUntil {
		if counts[version] == 0 && version != kv.primary {
			delete(kv.heldUntil, version)
		}
	}
	if counts[kv.primary] == 0 {
		kv.primary = versionOf(owners[0])
	}
}

// allPrimary reports whether all owners have the version that is known for long. It runs for
// each attempt, so it copies no records.
func (kv *knownVersions) allPrimary(owners []fleet.Member) bool {
	for i := range owners {
		if upstream, _ := owners[i].Upstream.Get(); upstream.Version != kv.primary {
			return false
		}
	}
	return true
}

// held reports whether a version is new at its service.
func (kv *knownVersions) held(version types.UpstreamVersion, now time.Time) bool {
	until, ok := kv.heldUntil[version]
	return !ok || now.Before(until)
}

// VersionsHeld reports whether a version is held back because no order for it is known.
func (st *State) VersionsHeld(now time.Time) bool {
	for service, known := range st.rollouts.services {
		for _, until := range known.heldUntil {
			if now.Before(until) && st.rollouts.active[service] == nil {
				return true
			}
		}
	}
	return false
}

// owners returns the owners that an attempt may go to, those to prefer first. first is true
// for the first attempt of a call: the others are not sent to a version on trial.
func (rs *rollouts) owners(service types.ServiceName, owners []fleet.Member, first bool, now time.Time) [2][]fleet.Member {
	known := rs.versions(service, owners, now)
	ordered := rs.active[service]
	if ordered == nil && (known == nil || known.allPrimary(owners)) {
		return [2][]fleet.Member{owners}
	}
	if ordered == nil {
		return rs.heldOwners(service, known, owners, first, now)
	}
	phase, _ := ordered.Phase()
	if phase == canary.Done {
		stay, leave := splitOwners(owners, func(owner fleet.Member) bool { return ordered.handsOver(versionOf(owner)) })
		return [2][]fleet.Member{stay, leave}
	}
	olds, news := splitOwners(owners, func(owner fleet.Member) bool { return versionOf(owner) == ordered.Order().To })
	switch {
	case ordered.Stopped():
		return [2][]fleet.Member{olds}
	case phase == canary.Shifting:
		return [2][]fleet.Member{news, olds}
	case len(olds) == 0 && !ordered.SawOld():
		return [2][]fleet.Member{owners}
	}
	_, chosen := splitOwners(news, func(owner fleet.Member) bool { return ordered.trials.Has(owner.ID) })
	return rs.trialOwners(service, olds, chosen, first)
}

// heldOwners is owners of a service without an order.
func (rs *rollouts) heldOwners(service types.ServiceName, known *knownVersions, owners []fleet.Member, first bool, now time.Time) [2][]fleet.Member {
	trusted, held := splitOwners(owners, func(owner fleet.Member) bool { return known.held(versionOf(owner), now) })
	if len(held) == 0 || heldPart*len(trusted) < len(owners) {
		return [2][]fleet.Member{owners}
	}
	lists := rs.trialOwners(service, trusted, held, first)
	if len(lists[1]) == 0 {
		// No order is known, so that a request which no other upstream can take goes there.
		lists[1] = held
	}
	return lists
}

// trialOwners gives the request to the version on trial if the node's credit suffices. Else
// it must not go there, even if no other upstream can take it.
func (rs *rollouts) trialOwners(service types.ServiceName, trusted, trial []fleet.Member, first bool) [2][]fleet.Member {
	credit := rs.credit(service)
	if first {
		credit.Earn(rs.aim())
	}
	if !first || len(trial) == 0 || !credit.Spend() {
		return [2][]fleet.Member{trusted}
	}
	return [2][]fleet.Member{trial, trusted}
}

// splitOwners returns the owners that do not match and those that do.
func splitOwners(owners []fleet.Member, match func(fleet.Member) bool) (others, matching []fleet.Member) {
	for _, owner := range owners {
		if match(owner) {
			matching = append(matching, owner)
		} else {
			others = append(others, owner)
		}
	}
	return others, matching
}

// versionView returns the upstreams of the service of an order.
func (st *State) versionView(order canary.Order) canary.View {
	var view canary.View
	for _, owner := range st.fleet.ServiceOwners(order.Service) {
		upstream, _ := owner.Upstream.Get()
		seen := canary.Upstream{ID: owner.ID, Slots: upstream.Slots}
		if upstream.Version == order.To {
			view.New = append(view.New, seen)
		} else {
			view.Old = append(view.Old, seen)
		}
	}
	return view
}
