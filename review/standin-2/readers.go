package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["readers"] = readers }

// readers: two of the six machines of a zone are cut off from the store, those that read it
// for the others, and the operator changes the configuration during the cut.
func readers(folder string) int {
	const rounds, cutFor, calmFor = 8, 5500 * time.Millisecond, 4500 * time.Millisecond
	st, ru := newStore(), newRuns()
	st.lag = 4 * time.Second
	routes := []route{{"r-job", "jobs.example", "/job/", "idempotent", 1200, 400, "statusdesk", 2}}
	st.put("config", "main", config(1, routes))
	var nodes []*nodeProcess
	var addresses []string
	for i := range 6 {
		tg := newTarget(fmt.Sprintf("i-%d", i), "statusdesk", 9, 5*time.Millisecond, ru)
		address := st.listen()
		nd := newNode(folder, fmt.Sprintf("sidecar-kolkata-%d", i+1), "kolkata", "statusdesk", address, tg.address, 284)
		nodes, addresses = append(nodes, nd), append(addresses, address)
		tg.beatAt(nd.listen)
	}
	if !awaitReady(nodes...) {
		note("the nodes were not ready")
		return unable
	}
	time.Sleep(6 * time.Second)
	var mu sync.Mutex
	judged, broke := 0, 0
	for round := range rounds {
		st.linkMu.Lock()
		var current []int
		for i, address := range addresses {
			if st.watches[address] > 0 {
				current = append(current, i)
			}
		}
		var cut []int
		if disturbed {
			cut = current[:min(2, len(current))]
			for _, i := range cut {
				st.cut[addresses[i]] = time.Now().Add(cutFor)
			}
		}
		st.linkMu.Unlock()
		note("machines whose watches get current data: %v; cut off from the store for %s: %v", current, cutFor, cut)
		time.Sleep(20 * time.Millisecond)
		version := round + 2
		routes = append(routes, route{fmt.Sprintf("r-%d", version), "jobs.example", fmt.Sprintf("/v%d/", version), "idempotent", 1200, 400, "statusdesk", 2})
		st.put("config", "main", config(version, routes))
		acknowledged := time.Now()
		note("version %d, which adds a route, is acknowledged", version)
		var group sync.WaitGroup
		for i, nd := range nodes {
			if slices.Contains(cut, i) {
				continue
			}
			group.Add(1)
			go func() {
				defer group.Done()
				cl := newClient(nd, "jobs.example")
				for at := 2010 * time.Millisecond; at < 2600*time.Millisecond; at += 50 * time.Millisecond {
					time.Sleep(time.Until(acknowledged.Add(at)))
					sent := time.Since(acknowledged)
					got := cl.send(http.MethodGet, fmt.Sprintf("/v%d/x", version), nil, time.Second, nil)
					mu.Lock()
					judged++
					if got.status == http.StatusNotFound {
						broke++
						note("%s, %s after the acknowledgement: 404 on the added route", nd.name, sent.Round(time.Millisecond))
					}
					mu.Unlock()
				}
			}()
		}
		group.Wait()
		time.Sleep(time.Until(acknowledged.Add(cutFor + calmFor)))
	}
	note("%d requests on added routes, sent later than 2 s after the acknowledgement to machines that are not cut off: %d got 404, allowed 0", judged, broke)
	if broke > 0 {
		return broken
	}
	return held
}
