package conf

import (
	"cmp"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// Retention is how long a pack stays stored after the last version that
	// named it. It exceeds the time a node takes to read a version and the
	// difference between the clocks of two nodes.
	Retention = time.Hour

	maxRecent   = 64
	maxRetired  = 2000
	maxDeleting = 32
)

// Next returns the root of the following version, without entries. Each stored
// pack counts as retired until WithoutNamed finds it named. Those retired for
// the retention time are to be deleted, a bounded number at a time.
func (r Root) Next(change types.ChangeID, content types.Hash, stored []types.Hash, now time.Time) Root {
	next := Root{Version: r.Version + 1, Change: change}
	accepted := Accepted{Change: change, Version: next.Version, Content: content}
	next.Recent = append(slices.Clone(r.Recent), accepted)
	next.Recent = next.Recent[max(0, len(next.Recent)-maxRecent):]
	since := make(map[types.Hash]time.Time, len(r.Retired))
	for _, retired := range r.Retired {
		since[retired.Pack] = retired.At
	}
	for _, hash := range slices.Sorted(slices.Values(stored)) {
		at, known := since[hash]
		if !known {
			at = now
		}
		due := now.Sub(at) >= Retention && len(next.Deleting) < maxDeleting
		if due || slices.Contains(r.Deleting, hash) {
			next.Deleting = append(next.Deleting, hash)
			continue
		}
		next.Retired = append(next.Retired, Retired{Pack: hash, At: at})
	}
	return next
}

// WithoutNamed returns the root that neither retires nor deletes a pack that
// its entries name.
func (r Root) WithoutNamed() Root {
	named := r.Packs()
	r.Deleting = slices.DeleteFunc(slices.Clone(r.Deleting), named.Has)
	r.Retired = slices.DeleteFunc(slices.Clone(r.Retired), func(item Retired) bool { return named.Has(item.Pack) })
	slices.SortStableFunc(r.Retired, func(a, b Retired) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Pack, b.Pack)) })
	r.Retired = r.Retired[:min(len(r.Retired), maxRetired)]
	return r
}

// WithPacks returns the root without the entries of other packs.
func (r Root) WithPacks(packs types.Set[types.Hash]) Root {
	r.Entries = slices.DeleteFunc(slices.Clone(r.Entries), func(entry Entry) bool { return !packs.Has(entry.Pack) })
	return r
}
