package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/fault"
)

const (
	plannedStops = 20
	stopCallers  = 6
)

// TestPlannedStopCutsNoCall stops a node of two under steady load of calls that may not be
// repeated and take longer than the stop leaves, beside short ones. Callers go on as long
// as the node takes connections. No call that an upstream has run is cut, and none is of
// unknown outcome.
func TestPlannedStopCutsNoCall(t *testing.T) {
	for number := range plannedStops {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			t.Parallel()
			fl := newCrashFleet(t, 2, time.Minute, time.Minute)
			stopped := &stoppedNode{fleet: fl, node: number % len(fl.nodes)}
			var callers sync.WaitGroup
			for caller := range stopCallers {
				callers.Go(func() { stopped.callUntilGone(caller) })
			}
			time.Sleep(time.Duration(number) * 10 * time.Millisecond)
			fl.leave[stopped.node]()
			callers.Wait()
			if cut := stopped.cut.Load(); cut > 0 {
				t.Errorf("%d calls were cut", cut)
			}
			if unknown := stopped.unknown.Load(); unknown > 0 {
				t.Errorf("%d calls are of unknown outcome", unknown)
			}
		})
	}
}

// stoppedNode counts what callers get of a node that stops.
type stoppedNode struct {
	fleet        *crashFleet
	node         int
	cut, unknown atomic.Int64
}

// callUntilGone sends calls on a kept connection, and on new ones where the node closes
// it, until the node takes no connection. Every other caller's calls are slow.
func (sn *stoppedNode) callUntilGone(caller int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 4 * callLimit}
	defer client.CloseIdleConnections()
	for number := 0; ; number++ {
		path := fmt.Sprintf("/status/%d/%d/%s", caller, number, []string{"slow", "short"}[caller%2])
		request, err := http.NewRequestWithContext(sn.fleet.ctx, http.MethodPost, "http://"+string(sn.fleet.nodes[sn.node].CallerAddress())+path, nil)
		if err != nil {
			return
		}
		response, err := client.Do(request)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err != nil {
			if _, ran := sn.fleet.ran.Load(path); ran {
				sn.cut.Add(1)
			}
			continue
		}
		if response.Header.Get("Sequoiamill-Outcome") == fault.Unknown.String() {
			sn.unknown.Add(1)
		}
		_ = response.Body.Close()
	}
}
