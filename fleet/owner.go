package fleet

import (
	"cmp"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Former is a member that no longer takes work, or no longer remembers the
// work that it took because its process was replaced.
type Former struct {
	Member Member
	// Until is when this node learned of it.
	Until time.Time
}

// Formers returns the members that took work of a service until after an
// instant, ordered by instance.
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

// Serving returns the live members that own an upstream of a service, ordered
// by instance. The result must not be changed.
func (tb *Table) Serving(service types.ServiceName) []Member {
	serving, ok := tb.services[service]
	if ok || service == "" {
		return serving
	}
	serving = tb.owners(func(member *Member) bool { return member.Service == service })
	tb.services[service] = serving
	return serving
}

// Owners returns the live members that own an upstream and match, ordered by
// instance.
func (tb *Table) Owners(match func(Member) bool) []Member {
	return tb.owners(func(member *Member) bool { return match(*member) })
}

func (tb *Table) owners(match func(*Member) bool) []Member {
	var owners []Member
	for _, rc := range tb.contacts.items {
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
