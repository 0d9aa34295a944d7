package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
)

// answering counts the requests whose answers have not been written yet. A call has ended
// for the state machine once its answer is there, but a large answer may take seconds on a
// thin link.
type answering struct {
	mu sync.Mutex
	// pending counts the requests since the last call of awaitPending.
	pending *atomic.Int64
}

// track wraps a handler so that its requests are counted.
func (an *answering) track(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		pending := an.add()
		defer pending.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

func (an *answering) add() *atomic.Int64 {
	an.mu.Lock()
	defer an.mu.Unlock()
	if an.pending == nil {
		an.pending = &atomic.Int64{}
	}
	an.pending.Add(1)
	return an.pending
}

// awaitPending waits until the requests that have been read are answered, or until ctx ends.
// It does not wait for later ones.
func (an *answering) awaitPending(ctx context.Context) {
	an.mu.Lock()
	pending := an.pending
	an.pending = nil
	an.mu.Unlock()
	for pending != nil && pending.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, peerPollInterval)
	}
}
