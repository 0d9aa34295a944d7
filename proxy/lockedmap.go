package proxy

import "sync"

// lockedMap is a map of pending calls or jobs by identifier. It is safe for
// concurrent use.
type lockedMap[K comparable, V any] struct {
	mu    sync.Mutex
	items map[K]V
}

func newLockedMap[K comparable, V any]() *lockedMap[K, V] {
	return &lockedMap[K, V]{items: map[K]V{}}
}

func (lm *lockedMap[K, V]) put(id K, item V) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.items[id] = item
}

func (lm *lockedMap[K, V]) get(id K) (V, bool) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	item, ok := lm.items[id]
	return item, ok
}

// remove deletes an item and returns it.
func (lm *lockedMap[K, V]) remove(id K) (V, bool) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	item, ok := lm.items[id]
	delete(lm.items, id)
	return item, ok
}
