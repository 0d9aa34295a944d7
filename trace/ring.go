package trace

import (
	"slices"
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Ring keeps the latest entries. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	entries []Entry
	next    int
}

// NewRing returns a ring that keeps up to size entries.
func NewRing(size int) *Ring {
	return &Ring{entries: make([]Entry, 0, size)}
}

// Add keeps an entry and drops the oldest one if the ring is full.
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

// Filter selects entries. An empty field selects all.
type Filter struct {
	Request types.RequestID
	Version types.Version
	Subject types.InstanceID
	Since   time.Time
	// Limit is the greatest number of entries, the latest ones.
	Limit int
}

func (f Filter) selects(entry Entry) bool {
	switch {
	case f.Request != "" && entry.Event.Request != f.Request:
		return false
	case f.Version != 0 && entry.Event.Version != f.Version:
		return false
	case f.Subject != "" && entry.Event.Subject != f.Subject && entry.Instance != f.Subject:
		return false
	default:
		return !entry.Stamp.Wall.Before(f.Since)
	}
}

// Select returns the matching entries in order.
func (r *Ring) Select(filter Filter) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Entry
	for _, entry := range r.entries {
		if filter.selects(entry) {
			found = append(found, entry)
		}
	}
	return Merge(filter.Limit, found)
}

// Merge orders entries of several nodes and keeps the latest limit of them; 0
// keeps all.
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
