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

// TestLargeAnswersLeaveOneByOne sends five large answers at once over a thin
// link and checks that the chunks of none come between those of another.
func TestLargeAnswersLeaveOneByOne(t *testing.T) {
	is := is.New(t)
	const size = 5 * linkChunk
	link := NewLink(2e6)
	var (
		all    sync.WaitGroup
		chunks sequence
	)
	for _, name := range "abcde" {
		all.Go(func() {
			_ = link.write(context.Background(), &chunks, bytes.Repeat([]byte{byte(name)}, size), time.Now())
		})
	}
	all.Wait()
	is.Equal(chunks.seen.Len(), 25)
	for at := 0; at < chunks.seen.Len(); at += 5 {
		is.Equal(chunks.seen.Bytes()[at:at+5], bytes.Repeat(chunks.seen.Bytes()[at:at+1], 5))
	}
	is.Equal(link.Wait(), time.Duration(0))
}

// TestLinkGivesUpItsTurn checks that an answer whose caller left while it
// waited leaves the link to the next one.
func TestLinkGivesUpItsTurn(t *testing.T) {
	is := is.New(t)
	link := NewLink(2e6)
	link.turn <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var chunks sequence
	is.True(link.write(ctx, &chunks, make([]byte, 2*linkChunk), time.Now()) != nil)
	is.Equal(link.Wait(), time.Duration(0))
	<-link.turn
	is.NoErr(link.write(context.Background(), &chunks, make([]byte, 2*linkChunk), time.Now()))
}
