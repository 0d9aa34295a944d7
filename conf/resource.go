package conf

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// ResourceKind is the kind of a configuration resource.
type ResourceKind int

// The kinds of resources.
const (
	ServiceKind ResourceKind = iota + 1
	RouteKind
	UpstreamRuleKind
	LimitsKind
	TeamKind
	AccessKind
)

// String returns the kebab-case name of the kind.
func (k ResourceKind) String() string {
	switch k {
	case ServiceKind:
		return "service"
	case RouteKind:
		return "route"
	case UpstreamRuleKind:
		return "upstream-rule"
	case LimitsKind:
		return "limits"
	case TeamKind:
		return "team"
	case AccessKind:
		return "access"
	default:
		return "unknown-resource"
	}
}

// ParseResourceKind returns the kind with the given name, or false if there is
// none.
func ParseResourceKind(name string) (ResourceKind, bool) {
	for _, kind := range []ResourceKind{ServiceKind, RouteKind, UpstreamRuleKind, LimitsKind, TeamKind, AccessKind} {
		if kind.String() == name {
			return kind, true
		}
	}
	return 0, false
}

// Key identifies a resource by its kind and name.
type Key struct {
	Kind ResourceKind
	Name string
}

// LimitsKey is the key of the limits. A configuration has at most one resource of
// this kind.
var LimitsKey = Key{Kind: LimitsKind, Name: "limits"}

// AccessKey is the key of the resource that requires keys of requests. A configuration has at
// most one resource of this kind.
var AccessKey = Key{Kind: AccessKind, Name: "access"}

// RootEntry refers to one resource of a root by the resource's key and the hash
// of its body.
type RootEntry struct {
	Key  Key
	Hash types.Hash
	// Pack is the hash of the pack that holds the body.
	Pack types.Hash
}

// AcceptedChange records a published change and the version that the change
// produced.
type AcceptedChange struct {
	Change  types.ChangeID
	Version types.Version
	// Content is the hash of the requested change. It distinguishes a repeated
	// request from a different change with the same change ID.
	Content types.Hash
}

// RetiredPack is a stored pack to which no entry of the root has referred since At.
type RetiredPack struct {
	Pack types.Hash
	At   time.Time
}

// Root is the object that lists the resources of one configuration version. The
// version is published when the platform has stored its root.
type Root struct {
	Version types.Version
	Change  types.ChangeID
	Entries []RootEntry
	// RecentChanges lists the last published changes, newest last.
	RecentChanges []AcceptedChange
	// RetiredPacks lists stored packs that the entries do not refer to. They stay
	// stored for PackRetention.
	RetiredPacks []RetiredPack
	// PacksToDelete lists the packs that the publisher of this root deletes after
	// it has stored the root. A later root may refer to such a pack only if the
	// pack has been stored again.
	PacksToDelete []types.Hash
}

// FindChange returns the record of a recent change, or false if there is none.
func (r Root) FindChange(id types.ChangeID) (AcceptedChange, bool) {
	for _, accepted := range r.RecentChanges {
		if accepted.Change == id {
			return accepted, true
		}
	}
	return AcceptedChange{}, false
}

// Config is a set of resources without a version: a complete configuration or the
// part that a change adds or replaces.
type Config struct {
	Services      []Service
	Routes        []Route
	UpstreamRules []UpstreamRule
	Teams         []Team
	// RequireKeys is true if requests need the key of a team although there may be no team.
	RequireKeys bool
	Limits      Limits
}

// PackByBody returns a map from the hash of each body to the hash of the pack
// that holds the body.
func (r Root) PackByBody() map[types.Hash]types.Hash {
	packs := make(map[types.Hash]types.Hash, len(r.Entries))
	for _, entry := range r.Entries {
		if entry.Pack != "" {
			packs[entry.Hash] = entry.Pack
		}
	}
	return packs
}

// Packs returns the hashes of the packs that the root's entries refer to.
func (r Root) Packs() types.Set[types.Hash] {
	names := make([]types.Hash, 0, len(r.Entries))
	for _, entry := range r.Entries {
		names = append(names, entry.Pack)
	}
	return types.NewSet(names...)
}
