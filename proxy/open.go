package proxy

import "sync"

// openSet holds what is under way by its identifier. It is safe for
// concurrent use.
type openSet[K comparable, V any] struct {
	mu    sync.Mutex
	items map[K]V
}

func newOpenSet[K comparable, V any]() *openSet[K, V] {
	return &openSet[K, V]{items: map[K]V{}}
}

func (os *openSet[K, V]) put(id K, item V) {
	os.mu.Lock()
	defer os.mu.Unlock()
	os.items[id] = item
}

func (os *openSet[K, V]) get(id K) (V, bool) {
	os.mu.Lock()
	defer os.mu.Unlock()
	item, ok := os.items[id]
	return item, ok
}

// remove takes an item out and returns it.
func (os *openSet[K, V]) remove(id K) (V, bool) {
	os.mu.Lock()
	defer os.mu.Unlock()
	item, ok := os.items[id]
	delete(os.items, id)
	return item, ok
}
