package main

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["retain"] = retain }

// newTimedKey returns a UUID of version 7, which holds the time of now.
func newTimedKey() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	millis := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8] = id[6]&0x0f|0x70, id[8]&0x3f|0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", id[:4], id[4:6], id[6:8], id[8:10], id[10:])
}

// retain: clients of one machine send bookings with a scan of 1 MB and the header
// Idempotency-Key, ten a second. The target of the machine leaves.
func retain(folder string) int {
	const size = 1 << 20
	st, ru := newStore(), newRuns()
	first := newTarget("i-first", "intake", 9, 140*time.Millisecond, ru)
	second := newTarget("i-second", "intake", 9, 140*time.Millisecond, ru)
	st.put("config", "main", config(1, []route{{"r-fee", "fees.example", "/fee/", "non_idempotent", 1500, 500, "intake", 2}}))
	one := newNode(folder, "sidecar-kolkata-1", "kolkata", "intake", st.address, first.address, 284)
	two := newNode(folder, "sidecar-howrah-1", "howrah", "intake", st.address, second.address, 284)
	first.beatAt(one.listen)
	second.beatAt(two.listen)
	if !awaitReady(one, two) {
		note("the nodes were not ready")
		return unable
	}
	time.Sleep(4 * time.Second)
	note("traffic begins: 10 bookings of %d bytes a second at %s, 12 clients without keys at %s", size, one.name, two.name)
	body := make([]byte, size)
	var mu sync.Mutex
	statuses, lost, bookings := map[int]int{}, 0, 0
	var stop atomic.Bool
	var group sync.WaitGroup
	count := func(got reply) {
		mu.Lock()
		defer mu.Unlock()
		statuses[got.status]++
		if got.cut && ru.of(got.id) > 0 {
			lost++
		}
		note("request %s, runs at targets %d", got, ru.of(got.id))
	}
	for range 5 {
		group.Add(1)
		go func() {
			defer group.Done()
			cl := newClient(one, "fees.example")
			for tick := time.NewTicker(500 * time.Millisecond); !stop.Load(); <-tick.C {
				count(cl.send(http.MethodPost, "/fee/scan", body, 3*time.Second, map[string]string{"Idempotency-Key": newTimedKey()}))
				mu.Lock()
				bookings++
				mu.Unlock()
			}
		}()
	}
	for range 12 {
		group.Add(1)
		go func() {
			defer group.Done()
			cl := newClient(two, "fees.example")
			for !stop.Load() {
				count(cl.send(http.MethodPost, "/fee/pay", []byte("amount=120"), 3*time.Second, nil))
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(4 * time.Second)
	if disturbed {
		note("the target beside %s says that it leaves", one.name)
		first.drain()
		note("acknowledged")
	}
	for range 8 {
		time.Sleep(6 * time.Second)
		mu.Lock()
		sent := bookings
		mu.Unlock()
		note("%d bookings so far; %s has used at most %d MB, %s %d MB", sent, one.name, one.peakMb, two.name, two.peakMb)
	}
	stop.Store(true)
	group.Wait()
	note("requests by status %v; requests of kept connections that were passed on and cut without an answer: %d, allowed 3", statuses, lost)
	for _, nd := range []*nodeProcess{one, two} {
		note("%s: at most %d MB, ended by itself %d times, of these above its memory %d times", nd.name, nd.peakMb, nd.ends, nd.kills)
	}
	if lost > 3 {
		return broken
	}
	return held
}
