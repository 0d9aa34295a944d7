package fleet

import (
	"cmp"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Former is the last record of a member that accepted work of a service but no
// longer does, or whose process was replaced and so lost its record of the work
// that it accepted.
type Former struct {
	Member Member
	// Until is when this node learned that the member had stopped accepting work
	// or that its process was replaced.
	Until time.Time
}

// Formers returns the former owners of a service whose Until is later than
// after, ordered by instance ID.
func (tb *Table) Formers(service types.ServiceName, after time.Time) []Former {
	var formers []Former
	for _, former := range tb.former {
		if former.Member.Service == service && former.Until.After(after) {
			formers = append(formers, former)
		}
	}
	slices.SortFunc(formers, func(a, b Former) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return formers
}

// Serving returns the members that accept work for a service, ordered by
// instance ID. The result is cached and must not be modified.
func (tb *Table) Serving(service types.ServiceName) []Member {
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
		if rc.member.TakesWork() && match(&rc.member) {
			owners = append(owners, rc.member)
		}
	}
	if tb.self.TakesWork() && match(&tb.self) {
		owners = append(owners, tb.self)
	}
	slices.SortFunc(owners, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return owners
}
