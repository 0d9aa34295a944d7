package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memory }

// memory: clients upload bodies that the configuration allows while others read. Many users
// come at once.
func memory(folder string) int {
	const usual, crowd, size = 12, 20, 16 << 20
	st, ru := newStore(), newRuns()
	uploads := newTarget("i-uploads", "intake", 9, 140*time.Millisecond, ru)
	more := newTarget("i-more", "intake", 9, 140*time.Millisecond, ru)
	desk := newTarget("i-desk", "statusdesk", 9, 100*time.Millisecond, ru)
	st.put("config", "main", config(1, []route{
		{"r-fee", "fees.example", "/fee/", "non_idempotent", 1500, 500, "intake", 2},
		{"r-job", "jobs.example", "/job/", "idempotent", 1200, 400, "statusdesk", 2},
	}))
	one := newNode(folder, "sidecar-kolkata-1", "kolkata", "intake", st, uploads.address, 284)
	two := newNode(folder, "sidecar-howrah-1", "howrah", "intake", st, more.address, 284)
	three := newNode(folder, "sidecar-kolkata-2", "kolkata", "statusdesk", st, desk.address, 284)
	uploads.beatAt(one.listen)
	more.beatAt(two.listen)
	desk.beatAt(three.listen)
	if !awaitReady(one, two, three) {
		note("the nodes were not ready")
		return unable
	}
	time.Sleep(4 * time.Second)
	note("traffic begins: %d clients upload %d MB each", usual, size>>20)
	body := make([]byte, size)
	var mu sync.Mutex
	lost, statuses := 0, map[int]int{}
	var stop atomic.Bool
	var group sync.WaitGroup
	send := func(method, host, path string, text []byte, deadline, pause time.Duration, until time.Time) {
		defer group.Done()
		cl := newClient(one, host)
		for !stop.Load() && (until.IsZero() || time.Now().Before(until)) {
			got := cl.send(method, path, text, deadline, nil)
			mu.Lock()
			statuses[got.status]++
			passed := ru.of(got.id)
			if got.cut && passed > 0 {
				lost++
			}
			note("%s request %s, runs at targets %d", host, got, passed)
			mu.Unlock()
			time.Sleep(pause)
		}
	}
	for range 8 {
		group.Add(1)
		go send(http.MethodGet, "jobs.example", "/job/7", nil, 2500*time.Millisecond, 20*time.Millisecond, time.Time{})
	}
	for range usual {
		group.Add(1)
		go send(http.MethodPost, "fees.example", "/fee/form", body, 3*time.Second, 300*time.Millisecond, time.Time{})
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if disturbed {
		note("many users come at once: 1.7 times as many clients for 3 s")
		for range crowd - usual {
			group.Add(1)
			go send(http.MethodPost, "fees.example", "/fee/form", body, 3*time.Second, 300*time.Millisecond, time.Now().Add(3*time.Second))
		}
	}
	time.Sleep(6 * time.Second)
	stop.Store(true)
	group.Wait()
	note("requests by status %v; requests of kept connections that were passed on and cut without an answer: %d, allowed 3", statuses, lost)
	for _, nd := range []*nodeProcess{one, two, three} {
		note("%s: at most %d MB, ended by itself %d times, of these above its memory %d times", nd.name, nd.peakMb, nd.ends, nd.kills)
	}
	if lost > 3 {
		return broken
	}
	return held
}
