package fakes_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
)

// startPlatform returns a fake platform, its server and a client. The clock of
// the platform stands still, so that all calls fall into the same second.
func startPlatform(t *testing.T, opts ...plat.Option) (*fakes.Platform, *httptest.Server, *plat.Store) {
	platform := fakes.NewPlatform().WithNow(func() time.Time { return time.Unix(1, 0) })
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	return platform, server, plat.NewHTTPStore(server.URL, opts...)
}

func newObject(name, text string) plat.Object {
	return plat.Object{Name: plat.Name{Kind: plat.BodyKind, Name: name}, Body: []byte(text)}
}

func TestPlatformObjects(t *testing.T) {
	is := is.New(t)
	// Encoding the object that is too large may take longer than the default timeout.
	_, _, store := startPlatform(t, plat.WithTimeout(time.Minute))
	ctx := t.Context()
	created, err := store.Put(ctx, newObject("a", "1"))
	is.NoErr(err)
	_, err = store.Put(ctx, newObject("a", "2"))
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
	platform, _, store := startPlatform(t)
	platform.SetFaults(fakes.Faults{WriteLimit: 2, ReadLimit: 3})
	for number := range 4 {
		_, err := store.Put(t.Context(), newObject(strconv.Itoa(number), "x"))
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
	is.Equal(platform.Counts(), fakes.CallCounts{Reads: 4, Writes: 4, Limited: 3, PeakReads: 4, PeakWrites: 4})
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
			platform, server, store := startPlatform(t, plat.WithTimeout(50*time.Millisecond))
			defer server.CloseClientConnections()
			platform.SetFaults(test.faults)
			_, err := store.Put(t.Context(), newObject("a", "x"))
			is.True(fault.Is(err, fault.PlatformUnavailable))
			is.Equal(fault.From(err).Outcome, fault.Unknown)
			is.True(fault.From(err).RetryAfter > 0)
			_, err = platform.Store().Get(t.Context(), newObject("a", "").Name)
			is.Equal(err == nil, test.stored)
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		is := is.New(t)
		_, server, store := startPlatform(t)
		server.Close()
		_, err := store.Put(t.Context(), newObject("a", "x"))
		is.True(fault.Is(err, fault.PlatformUnavailable))
		is.Equal(fault.From(err).Outcome, fault.NotRun)
	})
}

// watchObject watches the object "a" until the test ends. The returned channel
// gets the body of each revision that the watch reports.
func watchObject(t *testing.T, store *plat.Store) <-chan string {
	ctx, cancel := context.WithCancel(t.Context())
	bodies := make(chan string, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = store.Watch(ctx, newObject("a", "").Name, func(object plat.Object) { bodies <- string(object.Body) })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return bodies
}

func TestWatchReconnects(t *testing.T) {
	tests := []struct {
		name   string
		faults fakes.Faults
	}{
		{"watch timeout", fakes.Faults{}},
		{"muted watch", fakes.Faults{MuteWatches: true}},
		{"expired revision", fakes.Faults{MuteWatches: true, ExpireWatches: 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			platform, server, store := startPlatform(t, plat.WithWatchTimeout(time.Second))
			t.Cleanup(server.CloseClientConnections)
			platform.PutRaw(newObject("a", "").Name, []byte("1"))
			bodies := watchObject(t, store)
			is.Equal(<-bodies, "1")
			awaitWatches(platform, 1)
			platform.SetFaults(test.faults)
			if !test.faults.MuteWatches {
				awaitWatches(platform, 2)
			}
			platform.PutRaw(newObject("a", "").Name, []byte("2"))
			is.Equal(<-bodies, "2")
			platform.PutRaw(newObject("a", "").Name, []byte("3"))
			is.Equal(<-bodies, "3")
		})
	}
}

// awaitWatches waits until the platform has received the given number of watches.
func awaitWatches(platform *fakes.Platform, count int64) {
	for platform.Counts().Watches < count {
		time.Sleep(time.Millisecond)
	}
}

// TestEndlessReply checks that a platform that sends bytes without end costs a client a
// bounded number of bytes and an error, in a head and in a body.
func TestEndlessReply(t *testing.T) {
	const maxAccepted = 48 << 20
	for _, answer := range []string{fakes.EndlessHead, fakes.EndlessStatus, fakes.EndlessBody, fakes.EndlessNoise} {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = listener.Close() }()
		stuck := &fakes.StuckServer{Answer: answer}
		go stuck.Listen(listener)
		store := plat.NewHTTPStore("http://"+listener.Addr().String(), plat.WithTimeout(time.Minute))
		_, err = store.Get(t.Context(), plat.RootName)
		is.True(fault.Is(err, fault.PlatformUnavailable))
		for stuck.Closed() == 0 {
			time.Sleep(time.Millisecond)
		}
		is.True(stuck.Sent() < maxAccepted)
	}
}
