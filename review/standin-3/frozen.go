package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

func init() { cases["frozen"] = playFrozen }

const recovery = 15 * time.Second

// playFrozen: of three machines, two are lost for good while the third one stands still for
// some seconds. TROUBLE=freeze and TROUBLE=loss play only one of the two.
func playFrozen(lb *Lab) (bool, error) {
	var err error
	if lb.store, err = startStore(); err != nil {
		return false, cantRun("%v", err)
	}
	lb.store.Write("config", "main", config(7, []route{{"r-view", host, "/view/", "idempotent", "orders", 2000, 600, 2}}, "orders"))
	first, _, err := lb.addMachine("sidecar-khewra-1", "khewra", "orders", 6)
	if err != nil {
		return false, cantRun("%v", err)
	}
	for _, zone := range []string{"warcha", "kalabagh"} {
		if _, _, err = lb.addMachine("sidecar-"+zone+"-1", zone, "orders", 6); err != nil {
			return false, cantRun("%v", err)
		}
	}
	if err := lb.awaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	view := func(length time.Duration) (served, all int) {
		for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
			all++
			if lb.send(first, "GET", fmt.Sprintf("/view/%d", all), 4*time.Second, nil).Whole() {
				served++
			}
		}
		return served, all
	}
	before, beforeAll := view(5 * time.Second)
	freeze := lb.trouble && os.Getenv("TROUBLE") != "loss"
	loss := lb.trouble && os.Getenv("TROUBLE") != "freeze"
	if freeze {
		first.Signal(syscall.SIGSTOP)
	}
	time.Sleep(2 * time.Second)
	if loss {
		for i, nd := range lb.nodes[1:] {
			nd.Kill()
			lb.targets[i+1].Close()
		}
	}
	time.Sleep(2 * time.Second)
	if freeze {
		first.Signal(syscall.SIGCONT)
	}
	back := time.Now()
	view(time.Until(back.Add(recovery)))
	after, afterAll := view(25 * time.Second)
	lb.rec.Line("judged", "rule", "RECOVER", "served-before", before, "of", beforeAll, "served-after", after, "of", afterAll, "ready", first.IsReady())
	fmt.Printf("served %d of %d before, %d of %d later than 15 s after; the node says that it is ready: %t\n", before, beforeAll, after, afterAll, first.IsReady())
	if before*4 < beforeAll {
		return false, cantRun("less than a quarter was served before")
	}
	return after*4 >= afterAll, nil
}
