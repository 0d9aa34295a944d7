package proxy

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sequence notes which answer each chunk belongs to.
type sequence struct {
	mu   sync.Mutex
	seen bytes.Buffer
}

func (sq *sequence) Write(chunk []byte) (int, error) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.seen.WriteByte(chunk[0])
	return len(chunk), nil
}

// stalled takes nothing until it is released.
type stalled struct{ release chan struct{} }

func (st stalled) Write(chunk []byte) (int, error) {
	<-st.release
	return len(chunk), nil
}

// TestStalledReceiver checks that an answer whose receiver takes nothing keeps
// no other from leaving.
func TestStalledReceiver(t *testing.T) {
	is := is.New(t)
	link := NewLink(4e6)
	receiver := stalled{release: make(chan struct{})}
	done := make(chan error)
	go func() {
		done <- link.write(context.Background(), receiver, make([]byte, 4*linkChunk), time.Now)
	}()
	var sent sequence
	for range 5 {
		is.NoErr(link.write(context.Background(), &sent, make([]byte, 4*linkChunk), time.Now))
	}
	is.Equal(sent.seen.Len(), 20)
	close(receiver.release)
	is.NoErr(<-done)
}

// TestLinkTimes checks on given times that answers get the link in the order in
// which they come, and that an idle link gives no time back.
func TestLinkTimes(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	link := NewLink(1e6)
	is.Equal(link.take(100_000, now), now)
	is.Equal(link.take(50_000, now), now.Add(100*time.Millisecond))
	is.Equal(link.Wait(now), 150*time.Millisecond)
	is.Equal(link.Wait(now.Add(time.Second)), time.Duration(0))
	later := now.Add(time.Second)
	is.Equal(link.take(100_000, later), later)
}

// TestLinkOfAnEndedCall gives up an answer whose caller left while it waited.
func TestLinkOfAnEndedCall(t *testing.T) {
	is := is.New(t)
	link := NewLink(1e3)
	ctx, cancel := context.WithCancel(context.Background())
	link.take(1e6, time.Now())
	cancel()
	var sent sequence
	is.True(link.write(ctx, &sent, make([]byte, 2*linkChunk), time.Now) != nil)
	is.Equal(sent.seen.Len(), 0)
}
