package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["depart"] = depart }

// end sends the departure of a target. It returns when that is acknowledged.
func (tg *target) end() {
	close(tg.stop)
	for {
		body := fmt.Sprintf(`{"born":%d}`, tg.born)
		request, _ := http.NewRequest(http.MethodDelete, "http://"+tg.control+"/sequoiamill/instances/"+tg.id, bytes.NewReader([]byte(body)))
		request.Header.Set("Content-Type", "application/json")
		client := http.Client{Timeout: time.Second}
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// depart: a target is started anew on its machine. Later it leaves for good, and its last
// heartbeat arrives late. Its node is stopped and started just before.
func depart(folder string) int {
	st, ru := newStore(), newRuns()
	old := newTarget("i-old", "intake", 9, 40*time.Millisecond, ru)
	other := newTarget("i-other", "intake", 9, 40*time.Millisecond, ru)
	desk := newTarget("i-desk", "statusdesk", 9, 40*time.Millisecond, ru)
	st.put("config", "main", config(1, []route{{"r-fee", "fees.example", "/fee/", "non_idempotent", 1500, 500, "intake", 2}}))
	one := newNode(folder, "sidecar-kolkata-1", "kolkata", "intake", st.address, old.address, 284)
	two := newNode(folder, "sidecar-kolkata-2", "kolkata", "statusdesk", st.address, desk.address, 284)
	three := newNode(folder, "sidecar-howrah-1", "howrah", "intake", st.address, other.address, 284)
	old.beatAt(one.listen)
	desk.beatAt(two.listen)
	other.beatAt(three.listen)
	if !awaitReady(one, two, three) {
		note("the nodes were not ready")
		return unable
	}
	time.Sleep(4 * time.Second)
	note("the target of %s says that it leaves", one.name)
	old.drain()
	time.Sleep(2500 * time.Millisecond)
	old.end()
	note("it has ended, acknowledged; the next process starts on the same machine")
	next := newTarget("i-next", "intake", 9, 40*time.Millisecond, ru)
	next.beatAt(one.listen)
	time.Sleep(4 * time.Second)
	note("traffic begins, at %s", two.name)
	var mu sync.Mutex
	var stop atomic.Bool
	statuses, byNext := map[int]int{}, 0
	type arrival struct {
		id string
		at time.Time
	}
	var arrivals []arrival
	var group sync.WaitGroup
	for range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			cl := newClient(two, "fees.example")
			for !stop.Load() {
				got := cl.send(http.MethodPost, "/fee/pay", []byte("amount=120"), 3*time.Second, nil)
				mu.Lock()
				statuses[got.status]++
				if bytes.Contains([]byte(got.body), []byte("i-next")) {
					byNext++
					ru.mu.Lock()
					arrivals = append(arrivals, arrival{got.id, ru.began[got.id]})
					ru.mu.Unlock()
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	note("the next process has run %d requests", byNext)
	mu.Unlock()
	inTouch := time.Now()
	if disturbed {
		note("%s is stopped and started", one.name)
		ends := func() int { one.mu.Lock(); defer one.mu.Unlock(); return one.ends }
		before := ends()
		one.signal(syscall.SIGTERM)
		for ends() == before {
			time.Sleep(10 * time.Millisecond)
		}
		note("its process has ended")
		for !one.isReady() {
			time.Sleep(10 * time.Millisecond)
		}
		note("it is ready again")
		inTouch = time.Now().Add(3 * time.Second)
	}
	late := time.Now()
	next.end()
	acknowledged := time.Now()
	note("the target of %s has said that it is gone, acknowledged", one.name)
	go func() {
		time.Sleep(time.Until(late.Add(2500 * time.Millisecond)))
		note("its last heartbeat, sent before, arrives: acknowledged %t", next.beat())
	}()
	time.Sleep(9 * time.Second)
	stop.Store(true)
	group.Wait()
	bound := acknowledged.Add(2 * time.Second)
	if inTouch.After(bound) {
		bound = inTouch
	}
	reached := 0
	for _, ar := range arrivals {
		if ar.at.After(bound) {
			reached++
			note("request %s reached the target %s after the acknowledgement", ar.id, ar.at.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	note("requests by status %v; requests that reached the target later than 2 s after the acknowledgement, with all machines in touch: %d, allowed 0", statuses, reached)
	if reached > 0 {
		return broken
	}
	return held
}
