package fleet

import (
	"cmp"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// FormerOwner describes a member that accepted work for a service until it
// stopped accepting work or its process was replaced. A replaced process loses
// the information about the work that it accepted. Member is the last record in
// which the member accepted work.
type FormerOwner struct {
	Member Member
	// EndedAt is when this node learned that the member had stopped accepting
	// work or that its process was replaced.
	EndedAt time.Time
}

// FormerOwners returns the former owners of a service whose ownership ended after
// the given time, ordered by instance ID.
func (tb *Table) FormerOwners(service types.ServiceName, after time.Time) []FormerOwner {
	var owners []FormerOwner
	for _, former := range tb.formerOwners {
		if former.Member.Service == service && former.EndedAt.After(after) {
			owners = append(owners, former)
		}
	}
	slices.SortFunc(owners, func(a, b FormerOwner) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return owners
}

// ServiceOwners returns the members that accept work for a service, ordered by
// instance ID. The result is cached and must not be modified.
func (tb *Table) ServiceOwners(service types.ServiceName) []Member {
	serving, ok := tb.services[service]
	if ok || service == "" {
		return serving
	}
	serving = tb.owners(func(member *Member) bool { return member.Service == service })
	tb.services[service] = serving
	return serving
}

// Owners returns the members that accept work and for which match returns true,
// ordered by instance ID.
func (tb *Table) Owners(match func(Member) bool) []Member {
	return tb.owners(func(member *Member) bool { return match(*member) })
}

func (tb *Table) owners(match func(*Member) bool) []Member {
	var owners []Member
	for _, rc := range tb.liveSet.items {
		if rc.member.AcceptsWork() && match(&rc.member) {
			owners = append(owners, rc.member)
		}
	}
	if tb.self.AcceptsWork() && match(&tb.self) {
		owners = append(owners, tb.self)
	}
	slices.SortFunc(owners, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return owners
}
