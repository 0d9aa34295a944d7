package types

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an immutable set of values. Their type must be ordered, so that Sorted can
// list them in a fixed order.
type Set[T cmp.Ordered] struct {
	items map[T]struct{}
}

// NewSet returns a set of the given items.
func NewSet[T cmp.Ordered](items ...T) Set[T] {
	set := Set[T]{items: make(map[T]struct{}, len(items))}
	for _, item := range items {
		set.items[item] = struct{}{}
	}
	return set
}

// Has reports whether item is in the set.
func (s Set[T]) Has(item T) bool {
	_, ok := s.items[item]
	return ok
}

// Len returns the number of items.
func (s Set[T]) Len() int { return len(s.items) }

// With returns a copy of the set that also holds item.
func (s Set[T]) With(item T) Set[T] {
	next := Set[T]{items: make(map[T]struct{}, len(s.items)+1)}
	maps.Copy(next.items, s.items)
	next.items[item] = struct{}{}
	return next
}

// Sorted returns the items in ascending order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s.items)) }
