package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// stopCase stops one node with SIGTERM while clients of its machine fetch downloads.
func stopCase(rc *recorder, trouble bool) ([]string, error) {
	const timeout, size = 2500, 540000
	cf := newConfig(1, []string{"patterns", "counter"},
		[]any{"r-sheet", "sheet.example", "/sheet/", "download", timeout, 1000, 2, "patterns", 2, true, nil},
		[]any{"r-stock", "stock.example", "/stock/", "idempotent", 2000, 800, 2, "counter", 2, true, nil},
	)
	lb, err := newLab(rc, trouble, cf,
		place{"pettah", "counter", 7}, place{"pettah", "patterns", 140}, place{"pettah", "patterns", 140}, place{"pettah", "counter", 140})
	defer lb.close()
	if err != nil {
		return nil, err
	}
	stopped := lb.machines[0]
	var mu sync.Mutex
	var broken []string
	var signalled, sig = time.Time{}, time.Now().Add(3 * time.Second)
	var clients sync.WaitGroup
	end := sig.Add(6 * time.Second)
	for number := range 3 {
		clients.Go(func() {
			time.Sleep(time.Duration(number) * 300 * time.Millisecond)
			for time.Now().Before(end) {
				if !lb.mayUse(stopped) {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				at := lb.send(stopped, call{method: "GET", host: "sheet.example", path: fmt.Sprintf("/sheet/150/%d", size), deadline: 2500 * time.Millisecond})
				ran := len(lb.runsOf(at.id)) > 0
				if at.status == 0 && at.connected && ran && at.ended.Sub(at.sent) < timeout*time.Millisecond-50*time.Millisecond {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("LOST: %s was read and passed on to a target, and its connection ended %d ms after it was sent and %d ms after the SIGTERM without a complete answer (%d of %d bytes)",
						at.id, at.ended.Sub(at.sent).Milliseconds(), at.ended.Sub(signalled).Milliseconds(), at.received, size))
					mu.Unlock()
				}
				if at.status == 0 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(time.Until(sig))
	signalled = time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
		if !stopped.await(7 * time.Second) {
			stopped.signal(syscall.SIGKILL)
		}
		_ = stopped.start(false)
	}
	clients.Wait()
	return broken, nil
}
