package plat

import (
	"context"
	"maps"
	"strconv"
	"sync"

	"sequoiamill.example/sequoiamill/fault"
)

// Memory is an object store in memory, for a mesh that runs in one process without
// a platform. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	revision uint64
	objects  map[Name]Object
	// changed is closed and replaced by a new channel when any object changes,
	// which wakes all watches.
	changed chan struct{}
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[Name]Object{}, changed: make(chan struct{})}
}

// Copy returns a store with the same objects, whose revisions continue from the same one.
func (m *Memory) Copy() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Memory{revision: m.revision, objects: maps.Clone(m.objects), changed: make(chan struct{})}
}

// Store returns the operations of m as a Store.
func (m *Memory) Store() *Store {
	return &Store{Get: m.Get, GetCached: m.Get, List: m.List, ListCached: m.List, Put: m.Put, Delete: m.Delete, Watch: m.Watch, WatchCached: m.Watch, Era: func() Era { return 0 }}
}

// Get reads one object.
func (m *Memory) Get(_ context.Context, name Name) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[name]
	if !ok {
		return Object{}, fault.New(fault.NotFound, "object %s/%s does not exist", name.Kind, name.Name)
	}
	return object, nil
}

// List reads all objects of a kind.
func (m *Memory) List(_ context.Context, kind Kind) ([]Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var objects []Object
	for name, object := range m.objects {
		if name.Kind == kind {
			objects = append(objects, object)
		}
	}
	return objects, nil
}

// Put writes an object if its revision equals that of the stored object, and
// returns it with its new revision. An object with an empty revision is created and
// must not exist yet.
func (m *Memory) Put(_ context.Context, object Object) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[object.Name].Revision != object.Revision {
		return Object{}, conflict(object.Name)
	}
	m.revision++
	object.Revision = Revision(strconv.FormatUint(m.revision, 10))
	m.objects[object.Name] = object
	m.notify()
	return object, nil
}

// Delete removes an object if its revision equals that of the stored object.
func (m *Memory) Delete(_ context.Context, object Object) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[object.Name].Revision != object.Revision {
		return conflict(object.Name)
	}
	delete(m.objects, object.Name)
	m.notify()
	return nil
}

// Watch calls onChange with the current state of the object, if it exists, and
// again after changes, until ctx ends. Changes in quick succession may lead to a
// single call with the latest state. After a deletion, onChange gets the zero
// Object.
func (m *Memory) Watch(ctx context.Context, name Name, onChange func(Object)) error {
	var last Revision
	for {
		m.mu.Lock()
		object, changed := m.objects[name], m.changed
		m.mu.Unlock()
		if object.Revision != last {
			last = object.Revision
			onChange(object)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// notify wakes all watches.
func (m *Memory) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func conflict(name Name) error {
	return fault.New(fault.VersionConflict, "object %s/%s has another revision", name.Kind, name.Name)
}
