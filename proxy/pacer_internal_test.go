package proxy

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// chunkRecorder records the first byte of each chunk that is written to it.
type chunkRecorder struct {
	mu   sync.Mutex
	seen bytes.Buffer
}

func (cr *chunkRecorder) Write(chunk []byte) (int, error) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.seen.WriteByte(chunk[0])
	return len(chunk), nil
}

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (bw blockedWriter) Write(chunk []byte) (int, error) {
	<-bw.release
	return len(chunk), nil
}

// TestStalledReceiver checks that an answer whose receiver stalls does not block
// other answers.
func TestStalledReceiver(t *testing.T) {
	is := is.New(t)
	pacer := NewPacer(4e6)
	receiver := blockedWriter{release: make(chan struct{})}
	done := make(chan error)
	go func() {
		done <- pacer.write(context.Background(), receiver, make([]byte, 4*pacedChunkSize), time.Now)
	}()
	var sent chunkRecorder
	for range 5 {
		is.NoErr(pacer.write(context.Background(), &sent, make([]byte, 4*pacedChunkSize), time.Now))
	}
	is.Equal(sent.seen.Len(), 20)
	close(receiver.release)
	is.NoErr(<-done)
}

// TestPacerSchedule checks that answers are scheduled in the order in which they
// arrive. After a period in which the link was idle, an answer is scheduled for
// the time at which it arrives, not earlier.
func TestPacerSchedule(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	pacer := NewPacer(1e6)
	is.Equal(pacer.reserve(100_000, now), now)
	is.Equal(pacer.reserve(50_000, now), now.Add(100*time.Millisecond))
	is.Equal(pacer.Wait(now), 150*time.Millisecond)
	is.Equal(pacer.Wait(now.Add(time.Second)), time.Duration(0))
	later := now.Add(time.Second)
	is.Equal(pacer.reserve(100_000, later), later)
}

// TestPacerCanceledCall checks that no byte of an answer is sent if its context is
// canceled before the time for which the answer is scheduled.
func TestPacerCanceledCall(t *testing.T) {
	is := is.New(t)
	pacer := NewPacer(1e3)
	ctx, cancel := context.WithCancel(context.Background())
	pacer.reserve(1e6, time.Now())
	cancel()
	var sent chunkRecorder
	is.True(pacer.write(ctx, &sent, make([]byte, 2*pacedChunkSize), time.Now) != nil)
	is.Equal(sent.seen.Len(), 0)
}
