package main

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMb is the memory that a node may have, as its settings say.
const memoryMb = 284

// resident returns the memory that a process has, in bytes, as the platform sees it.
func resident(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// limitMemory kills a machine's node when it exceeds its memory, and starts it again after a
// short delay, as the platform does.
func (mc *machine) limitMemory() {
	for mc.lab.running() {
		time.Sleep(10 * time.Millisecond)
		mc.mu.Lock()
		pid := mc.command.Process.Pid
		mc.mu.Unlock()
		size := resident(pid)
		mc.mu.Lock()
		mc.peak = max(mc.peak, size)
		mc.mu.Unlock()
		if size <= memoryMb<<20 {
			continue
		}
		mc.lab.record.note("node %s has %d MB of %d and is killed", mc.name, size>>20, memoryMb)
		mc.signal(syscall.SIGKILL)
		mc.await(3 * time.Second)
		time.Sleep(300 * time.Millisecond)
		if mc.lab.running() {
			_ = mc.start(false)
		}
	}
}

// uploadCase has clients of two machines send large bodies. Three times, more of them come
// at once.
func uploadCase(rc *recorder, trouble bool) ([]string, error) {
	const (
		size   = 18_000_000
		usual  = 1.54
		times  = 2.6
		length = 6 * time.Second
	)
	const pause = 650 * time.Millisecond // between two users, that is usual a second
	// The users that come at once are those that a burst of this length has more than usual.
	count := int(math.Floor(usual * (times - 1) * length.Seconds()))
	cf := newConfig(1, []string{"stock-desk"},
		[]any{"r-view", "view.example", "/view/", "idempotent", 2000, 600, 2, "stock-desk", 2, true, nil},
		[]any{"r-reserve", "reserve.example", "/reserve/", "non_idempotent", 2500, 800, 1, "stock-desk", 2, true, nil},
	)
	cf.Limits["MaxBodyBytes"] = 64 << 20
	lb, err := newLab(rc, trouble, cf,
		place{"khewra", "stock-desk", 1000}, place{"khewra", "stock-desk", 1000}, place{"warcha", "stock-desk", 1000}, place{"warcha", "stock-desk", 1000})
	defer lb.close()
	if err != nil {
		return nil, err
	}
	for _, mc := range lb.machines {
		go mc.limitMemory()
	}
	body := make([]byte, size)
	crowded := []*machine{lb.machines[0], lb.machines[2]}
	var clients sync.WaitGroup
	upload := func(mc *machine) {
		lb.send(mc, call{method: "POST", host: "reserve.example", path: "/reserve/100/1500", deadline: 5 * time.Second, body: body})
	}
	begin := time.Now()
	end := begin.Add(48 * time.Second)
	for _, mc := range crowded {
		clients.Go(func() {
			for next := begin; next.Before(end); next = next.Add(pause) {
				time.Sleep(time.Until(next))
				if lb.mayUse(mc) {
					clients.Go(func() { upload(mc) })
				}
			}
		})
		clients.Go(func() {
			for time.Now().Before(end) {
				if lb.mayUse(mc) {
					lb.send(mc, call{method: "GET", host: "view.example", path: "/view/100/1500", deadline: 4 * time.Second})
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for _, at := range []time.Duration{6 * time.Second, 21 * time.Second, 36 * time.Second} {
		time.Sleep(time.Until(begin.Add(at)))
		if !trouble {
			continue
		}
		rc.note("at each of two machines, %d more users than usual come at once with %d bytes each", count, size)
		for _, mc := range crowded {
			for range count {
				clients.Go(func() { upload(mc) })
			}
		}
	}
	clients.Wait()
	ended := 0
	for _, mc := range lb.machines {
		mc.mu.Lock()
		rc.note("node %s was started %d times and had %d MB at most", mc.name, mc.started, mc.peak>>20)
		if mc.started > 3 {
			ended++
		}
		mc.mu.Unlock()
	}
	if ended >= 2 {
		return []string{fmt.Sprintf("Fault: the processes of %d of %d machines exceeded their memory three times or more", ended, len(lb.machines))}, nil
	}
	return nil, nil
}
