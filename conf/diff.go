package conf

// DifferenceKind is the way in which a resource differs between two
// configurations.
type DifferenceKind int

// The kinds of differences.
const (
	Added DifferenceKind = iota + 1
	Changed
	Removed
)

// String returns the lower-case name of the kind.
func (k DifferenceKind) String() string {
	switch k {
	case Added:
		return "added"
	case Changed:
		return "changed"
	case Removed:
		return "removed"
	default:
		return "unknown-difference"
	}
}

// Difference is a resource that was added, changed or removed between two
// configurations.
type Difference struct {
	Key  Key
	Kind DifferenceKind
}

// Diff returns the differences between the resources that two roots list. Added
// and changed resources come first, in the order of next. Removed resources
// follow in the order of old.
func Diff(old, next []RootEntry) []Difference {
	before := make(map[Key]RootEntry, len(old))
	for _, entry := range old {
		before[entry.Key] = entry
	}
	var differences []Difference
	for _, entry := range next {
		known, ok := before[entry.Key]
		delete(before, entry.Key)
		switch {
		case !ok:
			differences = append(differences, Difference{Key: entry.Key, Kind: Added})
		case known.Hash != entry.Hash:
			differences = append(differences, Difference{Key: entry.Key, Kind: Changed})
		}
	}
	for _, entry := range old {
		if _, ok := before[entry.Key]; ok {
			differences = append(differences, Difference{Key: entry.Key, Kind: Removed})
		}
	}
	return differences
}
