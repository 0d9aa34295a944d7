package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// heldBody is a body that goes on after a part only once it is released.
type heldBody struct {
	io.Reader
	part     int
	taken    *atomic.Int64
	released <-chan struct{}
}

func (hb *heldBody) Read(buffer []byte) (int, error) {
	if hb.part == 0 {
		<-hb.released
		return hb.Reader.Read(buffer)
	}
	count, err := hb.Reader.Read(buffer[:min(len(buffer), hb.part)])
	hb.part -= count
	hb.taken.Add(int64(count))
	return count, err
}

func (*heldBody) Close() error { return nil }

// TestAnswersTogetherAreBounded guards against upstreams whose answers are kept up to
// largeBody for each call, however many there are. All are read in the end.
func TestAnswersTogetherAreBounded(t *testing.T) {
	const calls, units = 50, 8
	for _, part := range []int{largeBody / 2, largeBody, 2 * largeBody} {
		for _, length := range []int64{-1, 3 * largeBody} {
			synctest.Test(t, func(t *testing.T) {
				gate := newBodyGate(units * largeBody)
				sent := make([]byte, 3*largeBody)
				var taken, whole atomic.Int64
				released := make(chan struct{})
				var readers sync.WaitGroup
				for range calls {
					response := &http.Response{ContentLength: length, Body: &heldBody{Reader: bytes.NewReader(sent), part: part, taken: &taken, released: released}}
					readers.Go(func() {
						text, err := gate.read(context.Background(), response, 4*largeBody)
						if err == nil && len(text) == len(sent) {
							whole.Add(1)
						}
					})
				}
				synctest.Wait()
				check := is.New(t)
				check.True(taken.Load() <= maxLargeBodies*3*largeBody+units*largeBody+calls*freeBody)
				close(released)
				readers.Wait()
				check.Equal(whole.Load(), int64(calls))
			})
		}
	}
}
