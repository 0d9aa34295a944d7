package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestStopWaitsForAnswersThatAreBeingSent guards against a stop that cuts answers which
// upstreams have given in full. A request that comes later does not hold the stop up.
func TestStopWaitsForAnswersThatAreBeingSent(t *testing.T) {
	is := is.New(t)
	var an answering
	began, release := make(chan bool, 2), map[string]chan bool{"/early": make(chan bool), "/late": make(chan bool)}
	handler := an.track(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		began <- true
		<-release[request.URL.Path]
	}))
	serve := func(path string) {
		go handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
		<-began
	}
	serve("/early")
	stopped := make(chan bool)
	waiting := make(chan bool)
	go func() {
		close(waiting)
		an.awaitPending(context.Background())
		close(stopped)
	}()
	<-waiting
	for an.taken() {
		sleep(context.Background(), peerPollInterval)
	}
	serve("/late")
	select {
	case <-stopped:
		t.Error("the stop did not wait for the answer")
	default:
	}
	release["/early"] <- true
	<-stopped
	release["/late"] <- true
	an.awaitPending(context.Background())
	is.Equal(an.add().Load(), int64(1))
}

// taken reports whether the requests so far are still to be awaited.
func (an *answering) taken() bool {
	an.mu.Lock()
	defer an.mu.Unlock()
	return an.pending != nil
}
