package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"
)

// stateOf returns the state that the system has written to the order of a service.
func (st *store) stateOf(service string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	var status struct{ State string }
	if found := st.objects["rollouts"][service]; found != nil {
		_ = json.Unmarshal(found.Status, &status)
	}
	return status.State
}

// rolloutCase orders a roll-out to a version that turns bad on one of two routes.
func rolloutCase(rc *recorder, trouble bool) ([]string, error) {
	const (
		olds     = 6
		perS     = 100
		duration = 12 * time.Second
		badFrom  = 8 * time.Second
		badShare = 0.2
		rollback = 5 * time.Second
	)
	cf := newConfig(1, []string{"desk"},
		[]any{"r-a", "a.example", "/a/", "idempotent", 2000, 600, 2, "desk", 2, true, nil},
		[]any{"r-b", "b.example", "/b/", "idempotent", 2000, 600, 2, "desk", 2, true, nil},
	)
	var places []place
	for i := range olds {
		places = append(places, place{fmt.Sprintf("z%d", 1+i%3), "desk", 200})
	}
	lb, err := newLab(rc, trouble, cf, places...)
	defer lb.close()
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var clients sync.WaitGroup
	order := time.Now().Add(5 * time.Second)
	end := order.Add(duration + 6*time.Second)
	entries := lb.machines[:olds]
	clients.Go(func() {
		for number := 0; time.Now().Before(end); number++ {
			time.Sleep(time.Duration((0.5 + rand.Float64()) / perS * float64(time.Second)))
			mc, name := entries[number%olds], []string{"a", "b"}[rand.Intn(2)]
			clients.Go(func() {
				at := lb.send(mc, call{method: "GET", host: name + ".example", path: "/" + name + "/40/500", deadline: 2 * time.Second})
				mu.Lock()
				sent[at.id] = at.sent
				mu.Unlock()
			})
		}
	})
	time.Sleep(time.Until(order))
	lb.store.put("rollouts", "desk", map[string]any{"Service": "desk", "ToVersion": "v2", "DurationS": duration.Seconds()})
	rc.note("the operator orders version v2")
	isNew := map[string]bool{}
	for i := range olds {
		mc, err := lb.add(places[i])
		if err != nil {
			return nil, err
		}
		mc.version = "v2"
		mc.bad = func(path string) bool {
			return trouble && strings.HasPrefix(path, "/b/") && time.Since(order) > badFrom && rand.Float64() < badShare
		}
		if err := mc.join(false); err != nil {
			return nil, err
		}
		isNew[mc.target.id] = true
	}
	state := ""
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		now := lb.store.stateOf("desk")
		if now == state {
			continue
		}
		state = now
		rc.note("the state of the order is %s", state)
		if state == "completed" {
			// The old targets stop at once.
			for _, mc := range entries {
				mc.target.stop()
				_ = mc.target.server.Close()
			}
		}
	}
	clients.Wait()
	lb.mu.Lock()
	defer lb.mu.Unlock()
	total, exposed, late := 0, 0, 0
	for _, rn := range lb.runs {
		if rn.at.After(order) && rn.at.Before(order.Add(duration)) {
			total++
			if isNew[rn.target] {
				exposed++
			}
		}
		if isNew[rn.target] && len(lb.failures) >= 50 && sent[rn.id].After(lb.failures[49].Add(rollback)) {
			late++
		}
	}
	allowed := int(0.1*float64(total)) + 50
	summary := fmt.Sprintf("of %d requests %d reached the version until the deadline, and %d are allowed; %d were sent to it later than RollbackMs after its 50th bad answer; state %s", total, exposed, allowed, late, state)
	rc.note("%s", summary)
	if trouble && (exposed > allowed || late > 0) {
		return []string{"EXPOSURE: " + summary}, nil
	}
	if !trouble && state != "completed" {
		return nil, fmt.Errorf("a good version was not completed: %s", state)
	}
	return nil, nil
}
