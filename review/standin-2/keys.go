package main

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["keys"] = keys }

// newKey returns a random UUID, as applications mint for Idempotency-Key.
func newKey() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	id[6], id[8] = id[6]&0x0f|0x40, id[8]&0x3f|0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", id[:4], id[4:6], id[6:8], id[8:10], id[10:])
}

// keys: clients of one machine send proper requests that can't be repeated, with the header
// Idempotency-Key of their application. The target of the machine leaves.
func keys(folder string) int {
	st, ru := newStore(), newRuns()
	first := newTarget("i-first", "intake", 9, 40*time.Millisecond, ru)
	second := newTarget("i-second", "intake", 9, 40*time.Millisecond, ru)
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
	note("traffic begins")
	var mu sync.Mutex
	statuses, denied, sent, texts := map[int]int{}, 0, 0, map[string]int{}
	var group sync.WaitGroup
	for range 4 {
		group.Add(1)
		go func() {
			defer group.Done()
			cl := newClient(one, "fees.example")
			for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				got := cl.send(http.MethodPost, "/fee/pay", []byte("amount=120"), 3*time.Second, map[string]string{"Idempotency-Key": newKey()})
				mu.Lock()
				sent++
				statuses[got.status]++
				if got.status >= 300 && got.status < 500 && got.status != 408 && got.status != 421 && got.status != 429 {
					denied++
					texts[got.body]++
				}
				note("request %s, runs at targets %d", got, ru.of(got.id))
				mu.Unlock()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	if disturbed {
		note("the target beside %s says that it leaves", one.name)
		first.drain()
		note("acknowledged")
	}
	group.Wait()
	if !disturbed {
		note("no target left")
	}
	example := ""
	for text := range texts {
		example = text
	}
	allowed := 5 + sent/500
	note("%d requests, by status %v; ended with a 4xx of the node's own: %d, allowed %d; for example %q", sent, statuses, denied, allowed, example)
	if denied > allowed {
		return broken
	}
	return held
}
