package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["dark"] = playDark }

const (
	darkFor = 3500 * time.Millisecond
	calmFor = 14 * time.Second
	// standsStill is how long a machine is stopped to see which other one reads then.
	standsStill = 2200 * time.Millisecond
	machines    = 20
)

// playDark: three of the twenty machines of a zone lose power for 3.5 s, those that read the
// store for the others, and the operator changes the configuration.
func playDark(lb *Lab) (bool, error) {
	var err error
	if lb.store, err = startStore(); err != nil {
		return false, cantRun("%v", err)
	}
	lb.store.lag = 4 * time.Second
	lb.ownStoreAddresses, lb.configApply = true, 2500*time.Millisecond
	routes := []route{{"r-view", host, "/view/", "idempotent", "orders", 2000, 600, 2}}
	lb.store.Write("config", "main", config(7, routes, "orders"))
	for i := range machines {
		if _, _, err := lb.addMachine(fmt.Sprintf("sidecar-khewra-%d", i+1), "khewra", "orders", 6); err != nil {
			return false, cantRun("%v", err)
		}
	}
	if err := lb.awaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	third, err := lb.findThirdReader()
	if err != nil {
		return false, err
	}
	time.Sleep(calmFor)
	judged, broken, perRound := 0, 0, []int{}
	for round := range 2 {
		lost := map[int]bool{third: true}
		for i, nd := range lb.nodes {
			if lb.store.HasCurrentWatch(nd.store) {
				lost[i] = true
			}
		}
		lb.rec.Line("readers", "nodes", lost)
		if len(lost) > 3 {
			return false, cantRun("%d machines read the store", len(lost))
		}
		if lb.trouble {
			for i := range lost {
				lb.powerOff(i)
			}
		}
		time.Sleep(20 * time.Millisecond)
		version := round + 8
		routes = append(routes, route{fmt.Sprintf("r-%d", version), host, fmt.Sprintf("/v%d/", version), "idempotent", "orders", 2000, 600, 2})
		lb.store.Write("config", "main", config(version, routes, "orders"))
		acknowledged := time.Now()
		lb.rec.Line("config", "version", version, "added-route", fmt.Sprintf("/v%d/", version))
		var group sync.WaitGroup
		var mu sync.Mutex
		late := 0
		for i, nd := range lb.nodes {
			if lost[i] {
				continue
			}
			group.Add(1)
			go func() {
				defer group.Done()
				for at := lb.configApply + 20*time.Millisecond; at < lb.configApply+4*time.Second; at += 200 * time.Millisecond {
					time.Sleep(time.Until(acknowledged.Add(at)))
					got := lb.send(nd, "GET", fmt.Sprintf("/v%d/x", version), time.Second, nil)
					mu.Lock()
					judged++
					if got.Status == http.StatusNotFound {
						late++
						lb.rec.Line("late", "node", nd.Name, "ms-after-the-acknowledgement", got.SentAt.Sub(acknowledged).Milliseconds())
					}
					mu.Unlock()
				}
			}()
		}
		time.Sleep(time.Until(acknowledged.Add(darkFor)))
		if lb.trouble {
			for i := range lost {
				if err := lb.powerOn(i); err != nil {
					return false, cantRun("%v", err)
				}
			}
		}
		group.Wait()
		broken += late
		perRound = append(perRound, late)
		time.Sleep(time.Until(acknowledged.Add(darkFor + calmFor)))
	}
	lb.rec.Line("judged", "rule", "CONFIG", "requests", judged, "answered-404", broken, "by-version", perRound)
	fmt.Printf("%d requests on added routes, sent later than 2.5 s after the acknowledgement to machines that nothing befell: %d got 404, by version %v\n", judged, broken, perRound)
	return broken == 0, nil
}

// findThirdReader returns the machine that reads the store once the one that reads it
// regularly stands still.
func (lb *Lab) findThirdReader() (int, error) {
	for range 3 {
		regular, third := lb.latestReader(1200*time.Millisecond, -1), -1
		if regular >= 0 {
			lb.nodes[regular].Signal(syscall.SIGSTOP)
			time.Sleep(standsStill)
			third = lb.latestReader(standsStill, regular)
			lb.nodes[regular].Signal(syscall.SIGCONT)
		}
		if third >= 0 {
			lb.rec.Line("found", "regular", lb.nodes[regular].Name, "third", lb.nodes[third].Name)
			return third, nil
		}
		time.Sleep(5 * time.Second)
	}
	return 0, cantRun("the machines that read the store are not to be told")
}

// latestReader returns the machine that read the store last within the time, or -1. Machines
// with a watch that gets current data do not count beside a machine to leave out.
func (lb *Lab) latestReader(within time.Duration, leaveOut int) int {
	latest, at := -1, time.Now().Add(-within)
	for i, nd := range lb.nodes {
		if i == leaveOut || leaveOut >= 0 && lb.store.HasCurrentWatch(nd.store) {
			continue
		}
		if read := lb.store.LastRead(nd.store); read.After(at) {
			latest, at = i, read
		}
	}
	return latest
}

// powerOff makes a machine silent: its process and its target neither answer nor close.
func (lb *Lab) powerOff(i int) {
	lb.targets[i].SetDark()
	lb.nodes[i].Signal(syscall.SIGSTOP)
}

// powerOn starts a silent machine anew: what ran there is gone.
func (lb *Lab) powerOn(i int) error {
	nd, old := lb.nodes[i], lb.targets[i]
	nd.Kill()
	old.Close()
	tg, err := startTarget(old.ID+"n", old.Service, nd.App, old.Slots, lb.runs, lb.rec)
	if err != nil {
		return err
	}
	tg.control = nd.Control
	lb.targets[i] = tg
	go tg.beat(1500 * time.Millisecond)
	return nd.Start()
}
