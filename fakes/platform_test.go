package fakes_test

import (
	"context"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
)

// start returns a platform whose clock stands still, its address and a client.
func start(t *testing.T, opts ...plat.Option) (*fakes.Platform, *httptest.Server, *plat.Store) {
	platform := fakes.NewPlatform().WithNow(func() time.Time { return time.Unix(1, 0) })
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	return platform, server, plat.NewHTTP(server.URL, opts...)
}

func body(name, text string) plat.Object {
	return plat.Object{Name: plat.Name{Kind: plat.BodyKind, Name: name}, Body: []byte(text)}
}

func TestPlatformObjects(t *testing.T) {
	is := is.New(t)
	_, _, store := start(t)
	ctx := t.Context()
	created, err := store.Put(ctx, body("a", "1"))
	is.NoErr(err)
	_, err = store.Put(ctx, body("a", "2"))
	is.True(fault.Is(err, fault.VersionConflict))
	changed, err := store.Put(ctx, created.WithBody([]byte("3")))
	is.NoErr(err)
	is.True(fault.Is(store.Delete(ctx, created), fault.VersionConflict))
	objects, err := store.List(ctx, plat.BodyKind)
	is.NoErr(err)
	is.Equal(objects, []plat.Object{changed})
	is.NoErr(store.Delete(ctx, changed))
	_, err = store.Get(ctx, changed.Name)
	is.True(fault.Is(err, fault.NotFound))
	_, err = store.Put(ctx, plat.Object{Name: created.Name, Body: make([]byte, 1<<20+1)})
	is.True(fault.Is(err, fault.TooLarge))
}

func TestPlatformCallLimits(t *testing.T) {
	is := is.New(t)
	platform, _, store := start(t)
	platform.SetFaults(fakes.Faults{WriteLimit: 2, ReadLimit: 3})
	for number := range 4 {
		_, err := store.Put(t.Context(), body(strconv.Itoa(number), "x"))
		is.Equal(fault.Is(err, fault.PlatformUnavailable), number >= 2)
		if number >= 2 {
			is.Equal(fault.From(err).RetryAfter, 2*time.Second)
			is.Equal(fault.From(err).Outcome, fault.NotRun)
		}
	}
	for number := range 4 {
		_, err := store.List(t.Context(), plat.BodyKind)
		is.Equal(err != nil, number >= 3)
	}
	is.Equal(platform.Counts(), fakes.Counts{Reads: 4, Writes: 4, Limited: 3, PeakReads: 4, PeakWrites: 4})
}

func TestPlatformFailures(t *testing.T) {
	tests := []struct {
		name   string
		faults fakes.Faults
		stored bool
	}{
		{"down", fakes.Faults{Down: true}, false},
		{"slow", fakes.Faults{DelayMillis: 1000}, false},
		{"answer lost", fakes.Faults{LoseAnswers: 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			platform, server, store := start(t, plat.WithTimeout(50*time.Millisecond))
			defer server.CloseClientConnections()
			platform.SetFaults(test.faults)
			_, err := store.Put(t.Context(), body("a", "x"))
			is.True(fault.Is(err, fault.PlatformUnavailable))
			is.Equal(fault.From(err).Outcome, fault.Unknown)
			is.True(fault.From(err).RetryAfter > 0)
			_, err = platform.Store().Get(t.Context(), body("a", "").Name)
			is.Equal(err == nil, test.stored)
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		is := is.New(t)
		_, server, store := start(t)
		server.Close()
		_, err := store.Put(t.Context(), body("a", "x"))
		is.True(fault.Is(err, fault.PlatformUnavailable))
		is.Equal(fault.From(err).Outcome, fault.NotRun)
	})
}

// watch follows the object "a" and returns what it sees.
func watch(t *testing.T, store *plat.Store) <-chan string {
	ctx, cancel := context.WithCancel(t.Context())
	seen := make(chan string, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = store.Watch(ctx, body("a", "").Name, func(object plat.Object) { seen <- string(object.Body) })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return seen
}

func TestWatchSurvives(t *testing.T) {
	tests := []struct {
		name   string
		faults fakes.Faults
	}{
		{"planned end", fakes.Faults{}},
		{"silence", fakes.Faults{MuteWatches: true}},
		{"expired revision", fakes.Faults{MuteWatches: true, ExpireWatches: 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			platform, server, store := start(t, plat.WithWatchTimeout(time.Second))
			t.Cleanup(server.CloseClientConnections)
			platform.PutRaw(body("a", "").Name, []byte("1"))
			seen := watch(t, store)
			is.Equal(<-seen, "1")
			awaitWatches(platform, 1)
			platform.SetFaults(test.faults)
			if !test.faults.MuteWatches {
				awaitWatches(platform, 2)
			}
			platform.PutRaw(body("a", "").Name, []byte("2"))
			is.Equal(<-seen, "2")
			platform.PutRaw(body("a", "").Name, []byte("3"))
			is.Equal(<-seen, "3")
		})
	}
}

func awaitWatches(platform *fakes.Platform, count int64) {
	for platform.Counts().Watches < count {
		time.Sleep(time.Millisecond)
	}
}
