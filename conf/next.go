package conf

import (
	"cmp"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// Retention is how long a pack stays stored after the first version that no
	// longer refers to it. It must exceed the time that a node needs to read a
	// version, plus the difference between the clocks of two nodes.
	Retention = time.Hour

	// maxRecent limits the accepted changes that a root remembers.
	maxRecent = 64
	// maxRetired limits the retired packs that a root lists.
	maxRetired = 2000
	// maxDeleting limits the packs that a root lists as to be deleted. Packs that
	// the previous root listed stay listed beyond this limit.
	maxDeleting = 32
)

// Next returns the root of the following version, without entries. It marks every
// stored pack as retired, or as to be deleted if it has been retired for the
// retention time. Packs that the previous root deletes are marked so again. Once the
// entries are set, WithoutNamed unmarks the packs that they refer to.
func (r Root) Next(change types.ChangeID, content types.Hash, stored []types.Hash, now time.Time) Root {
	next := Root{Version: r.Version + 1, Change: change}
	accepted := Accepted{Change: change, Version: next.Version, Content: content}
	next.Recent = append(slices.Clone(r.Recent), accepted)
	next.Recent = next.Recent[max(0, len(next.Recent)-maxRecent):]
	retiredAt := make(map[types.Hash]time.Time, len(r.Retired))
	for _, retired := range r.Retired {
		retiredAt[retired.Pack] = retired.At
	}
	for _, hash := range slices.Sorted(slices.Values(stored)) {
		at, known := retiredAt[hash]
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

// WithoutNamed returns a copy of the root in which the packs that its entries refer
// to are neither retired nor to be deleted. It keeps at most maxRetired retired
// packs, those retired first.
func (r Root) WithoutNamed() Root {
	referenced := r.Packs()
	r.Deleting = slices.DeleteFunc(slices.Clone(r.Deleting), referenced.Has)
	r.Retired = slices.DeleteFunc(slices.Clone(r.Retired), func(item Retired) bool { return referenced.Has(item.Pack) })
	slices.SortStableFunc(r.Retired, func(a, b Retired) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Pack, b.Pack)) })
	r.Retired = r.Retired[:min(len(r.Retired), maxRetired)]
	return r
}

// WithPacks returns a copy of the root with only the entries whose bodies are in one
// of the given packs.
func (r Root) WithPacks(packs types.Set[types.Hash]) Root {
	r.Entries = slices.DeleteFunc(slices.Clone(r.Entries), func(entry Entry) bool { return !packs.Has(entry.Pack) })
	return r
}
