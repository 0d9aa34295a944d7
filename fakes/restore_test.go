package fakes_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
)

// TestWriteOfEarlierEra guards against a write whose condition was read before the platform
// came back from an older copy, and which lands on another state with the same revision.
func TestWriteOfEarlierEra(t *testing.T) {
	check := is.New(t)
	ctx := t.Context()
	platform, _, store := startPlatform(t)
	first, err := store.Put(ctx, newObject("a", "first"))
	check.NoErr(err)
	state := platform.Copy()
	lost, err := store.Put(ctx, first.WithBody([]byte("lost")))
	check.NoErr(err)
	platform.Restore(state)
	_, err = platform.Store().Put(ctx, first.WithBody([]byte("other"))) // gets the revision of the lost state
	check.NoErr(err)
	read, err := store.Get(ctx, first.Name) // tells the new era
	check.NoErr(err)
	check.True(read.Revision != lost.Revision)
	_, err = store.Put(ctx, lost.WithBody([]byte("late")))
	check.True(fault.Is(err, fault.VersionConflict))
	check.True(fault.Is(store.Delete(ctx, lost), fault.VersionConflict))
	objects, err := store.List(ctx, plat.BodyKind)
	check.NoErr(err)
	check.Equal(objects, []plat.Object{read})
	_, err = store.Put(ctx, read.WithBody([]byte("next")))
	check.NoErr(err)
}

// TestWatchOverRestore guards against a watch that waits for a revision which the platform
// gave out before it came back from an older copy.
func TestWatchOverRestore(t *testing.T) {
	check := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	platform, _, store := startPlatform(t, plat.WithWatchTimeout(time.Second))
	first, err := store.Put(ctx, newObject("a", "first"))
	check.NoErr(err)
	state := platform.Copy()
	lost := first
	for range 5 {
		lost, err = store.Put(ctx, lost.WithBody([]byte("lost")))
		check.NoErr(err)
	}
	seen := make(chan string, 8)
	go func() {
		_ = store.Watch(ctx, first.Name, func(object plat.Object) { seen <- string(object.Body) })
	}()
	check.Equal(<-seen, "lost")
	platform.Restore(state)
	_, err = platform.Store().Put(ctx, first.WithBody([]byte("after")))
	check.NoErr(err)
	select {
	case body := <-seen:
		check.Equal(body, "after")
	case <-time.After(10 * time.Second):
		t.Fatal("the watch reports no change after the restore")
	}
}
