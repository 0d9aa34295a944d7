package trace

import (
	"slices"
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Ring is a ring buffer of the latest timeline entries. It is safe for concurrent
// use.
type Ring struct {
	mu      sync.Mutex
	entries []Entry
	next    int
}

// NewRing returns a ring that holds up to size entries.
func NewRing(size int) *Ring {
	return &Ring{entries: make([]Entry, 0, size)}
}

// Add stores an entry. If the ring is full, it overwrites the oldest one.
func (r *Ring) Add(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) < cap(r.entries) {
		r.entries = append(r.entries, entry)
		return
	}
	r.entries[r.next] = entry
	r.next = (r.next + 1) % len(r.entries)
}

// Filter selects the entries that match Request, Version, Instance and Since. A
// field with its zero value matches every entry.
type Filter struct {
	Request types.RequestID
	Version types.Version
	// Instance matches entries about this instance or recorded on it.
	Instance types.InstanceID
	// Since matches entries recorded at this time or later.
	Since time.Time
	// Limit is the maximum number of entries to return. If more entries match,
	// the latest ones are returned. 0 means no limit.
	Limit int
}

func (f Filter) matches(entry Entry) bool {
	switch {
	case f.Request != "" && entry.Event.Request != f.Request:
		return false
	case f.Version != 0 && entry.Event.Version != f.Version:
		return false
	case f.Instance != "" && entry.Event.Subject != f.Instance && entry.Instance != f.Instance:
		return false
	default:
		return !entry.Stamp.Wall.Before(f.Since)
	}
}

// Select returns the entries that match the filter, oldest first.
func (r *Ring) Select(filter Filter) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []Entry
	for _, entry := range r.entries {
		if filter.matches(entry) {
			selected = append(selected, entry)
		}
	}
	return Merge(filter.Limit, selected)
}

// Merge merges the entries of several nodes and returns them, oldest first. If
// there are more than limit, it returns only the latest ones. A limit of 0 means no
// limit.
func Merge(limit int, lists ...[]Entry) []Entry {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Entry) int {
		switch {
		case a.Stamp.Before(b.Stamp):
			return -1
		case b.Stamp.Before(a.Stamp):
			return 1
		default:
			return 0
		}
	})
	if limit > 0 && len(all) > limit {
		all = all[len(all)-limit:]
	}
	return all
}
