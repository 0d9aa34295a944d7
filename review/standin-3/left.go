package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["left"] = playLeft }

// playLeft: a target leaves while the store is down, and right after its node has
// acknowledged this, the processes of all machines are killed. A heartbeat that the target
// sent before it left arrives late. TROUBLE=kill leaves the store up, TROUBLE=down kills
// nothing.
func playLeft(lb *Lab) (bool, error) {
	var err error
	if lb.store, err = startStore(); err != nil {
		return false, cantRun("%v", err)
	}
	lb.store.Write("config", "main", config(7, []route{{"r-view", host, "/view/", "idempotent", "orders", 2000, 600, 2}}, "orders"))
	for _, zone := range []string{"khewra", "warcha", "kalabagh"} {
		if _, _, err = lb.addMachine("sidecar-"+zone+"-1", zone, "orders", 6); err != nil {
			return false, cantRun("%v", err)
		}
	}
	if err := lb.awaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, nd := range lb.nodes {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					lb.send(nd, "GET", fmt.Sprintf("/view/%d-%d", i, n), 4*time.Second, nil)
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	kill := lb.trouble && os.Getenv("TROUBLE") != "down"
	down := lb.trouble && os.Getenv("TROUBLE") != "kill"
	leaver := lb.targets[0]
	late := leaver.beatBody()
	leaver.Quiet()
	lb.rec.Line("beat-delayed", "target", leaver.ID)
	if down {
		lb.store.SetSilent(true)
		lb.rec.Line("store", "answers", "nobody")
		time.AfterFunc(4500*time.Millisecond, func() {
			lb.store.SetSilent(false)
			lb.rec.Line("store", "answers", "again")
		})
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	status, err := leaver.call(http.MethodDelete, fmt.Appendf(nil, `{"born":%d}`, leaver.Born))
	acked := time.Now()
	lb.rec.Line("leave", "target", leaver.ID, "answer", status, "error", err, "after-ms", time.Since(began.Add(500*time.Millisecond)).Milliseconds())
	if err != nil || status/100 != 2 {
		return false, cantRun("the departure was not acknowledged")
	}
	if kill {
		for _, nd := range lb.nodes {
			nd.Kill()
		}
		time.Sleep(time.Second)
		for _, nd := range lb.nodes {
			if err := nd.Start(); err != nil {
				return false, cantRun("%v", err)
			}
		}
	}
	back := time.Now()
	time.Sleep(time.Until(began.Add(4700 * time.Millisecond)))
	status, err = leaver.call(http.MethodPut, late)
	lb.rec.Line("beat-arrives", "target", leaver.ID, "answer", status, "error", err, "late-ms", time.Since(began).Milliseconds())
	// The machines are in touch again from here on: 3 s after their start and after the
	// store was down.
	touch := began.Add(4500*time.Millisecond + 3*time.Second)
	if back.Add(3 * time.Second).After(touch) {
		touch = back.Add(3 * time.Second)
	}
	time.Sleep(time.Until(touch.Add(4 * time.Second)))
	close(stop)
	clients.Wait()
	broken := 0
	for _, run := range lb.runs.All() {
		if run.Target == leaver.ID && run.At.After(touch) && run.At.Sub(acked) > 2*time.Second {
			broken++
		}
	}
	lb.rec.Line("judged", "rule", "DRAIN", "requests-after-the-departure", broken)
	fmt.Printf("%d requests reached the target more than 2 s after its departure was acknowledged, from machines in touch\n", broken)
	return broken == 0, nil
}
