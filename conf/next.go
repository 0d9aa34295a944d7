package conf

import (
	"cmp"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// PackRetention is how long a pack stays stored after the publication of the
	// first version that no longer refers to the pack. It must exceed the time
	// that a node needs to read a version, plus the difference between the clocks
	// of two nodes.
	PackRetention = time.Hour

	// maxRecentChanges limits how many accepted changes a root records.
	maxRecentChanges = 64
	// maxRetiredPacks limits how many retired packs a root lists. A retired pack
	// is a stored object that the current version no longer refers to.
	maxRetiredPacks = 2000
	// maxPacksToDelete limits how many packs a root lists for deletion. Packs
	// that the previous root listed are listed again even beyond this limit.
	maxPacksToDelete = 32
)

// Next returns the root of the following version, still without entries. The
// argument stored lists all packs on the platform. Next lists a pack for
// deletion if r already does so, or if the pack has been retired for
// PackRetention. It lists every other pack as retired. After the caller has set
// the entries, UnmarkReferenced removes the packs that the entries refer to from
// both lists.
func (r Root) Next(change types.ChangeID, content types.Hash, stored []types.Hash, now time.Time) Root {
	next := Root{Version: r.Version + 1, Change: change}
	accepted := AcceptedChange{Change: change, Version: next.Version, Content: content}
	next.RecentChanges = append(slices.Clone(r.RecentChanges), accepted)
	next.RecentChanges = next.RecentChanges[max(0, len(next.RecentChanges)-maxRecentChanges):]
	retiredAt := make(map[types.Hash]time.Time, len(r.RetiredPacks))
	for _, retired := range r.RetiredPacks {
		retiredAt[retired.Pack] = retired.At
	}
	for _, hash := range slices.Sorted(slices.Values(stored)) {
		at, known := retiredAt[hash]
		if !known {
			at = now
		}
		due := now.Sub(at) >= PackRetention && len(next.PacksToDelete) < maxPacksToDelete
		if due || slices.Contains(r.PacksToDelete, hash) {
			next.PacksToDelete = append(next.PacksToDelete, hash)
			continue
		}
		next.RetiredPacks = append(next.RetiredPacks, RetiredPack{Pack: hash, At: at})
	}
	return next
}

// UnmarkReferenced returns a copy of the root that no longer lists the packs of
// its own entries as retired or as to be deleted. The copy lists at most
// maxRetiredPacks retired packs. If there are more, it omits those that were
// retired last.
func (r Root) UnmarkReferenced() Root {
	referenced := r.Packs()
	r.PacksToDelete = slices.DeleteFunc(slices.Clone(r.PacksToDelete), referenced.Has)
	r.RetiredPacks = slices.DeleteFunc(slices.Clone(r.RetiredPacks), func(item RetiredPack) bool { return referenced.Has(item.Pack) })
	slices.SortStableFunc(r.RetiredPacks, func(a, b RetiredPack) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Pack, b.Pack)) })
	r.RetiredPacks = r.RetiredPacks[:min(len(r.RetiredPacks), maxRetiredPacks)]
	return r
}

// FilterByPacks returns a copy of the root with only the entries whose bodies are in one
// of the given packs.
func (r Root) FilterByPacks(packs types.Set[types.Hash]) Root {
	r.Entries = slices.DeleteFunc(slices.Clone(r.Entries), func(entry RootEntry) bool { return !packs.Has(entry.Pack) })
	return r
}
