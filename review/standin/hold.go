package main

import (
	"fmt"
	"math"
	"math/rand"
	"sync"
	"time"
)

// sheetSize draws the size of a download as the site file describes it: 90,000 bytes on
// average, with a spread of 0.6, and 540,000 at the most.
func sheetSize(rng *rand.Rand) int {
	const mean, spread, most = 90000.0, 0.6, 540000.0
	return int(min(most, mean*math.Exp(spread*rng.NormFloat64()-spread*spread/2)))
}

// holdCase has the clients of a machine with a narrow link fetch downloads. For a while,
// more of them come at once.
func holdCase(rc *recorder, trouble bool) ([]string, error) {
	const (
		timeout  = 2000 * time.Millisecond
		deadline = 4000 * time.Millisecond
		usual    = 7.0
		times    = 2.6
		burst    = 6 * time.Second
		// calm is the time after a burst within which no request is judged: 5 s and StabilityMs.
		calm = 8 * time.Second
	)
	cf := newConfig(1, []string{"patterns", "counter"},
		[]any{"r-sheet", "sheet.example", "/sheet/", "download", timeout.Milliseconds(), 1000, 2, "patterns", 2, true, nil},
	)
	lb, err := newLab(rc, trouble, cf,
		place{"pettah", "counter", 7}, place{"pettah", "patterns", 140}, place{"moratuwa", "patterns", 140}, place{"moratuwa", "patterns", 140})
	defer lb.close()
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewSource(42))
	var mu sync.Mutex
	var all []attempt
	var clients sync.WaitGroup
	begin := time.Now()
	from, end := begin.Add(8*time.Second), begin.Add(44*time.Second)
	until := from.Add(burst)
	note := true
	for next := begin; next.Before(end); {
		time.Sleep(time.Until(next))
		rate := usual
		if trouble && !next.Before(from) && next.Before(until) {
			rate *= times
			if note {
				rc.note("%.1f times as many downloads are asked for, for %v", times, burst)
				note = false
			}
		}
		path := fmt.Sprintf("/sheet/150/%d", sheetSize(rng))
		clients.Go(func() {
			at := lb.send(lb.machines[0], call{method: "GET", host: "sheet.example", path: path, deadline: deadline})
			mu.Lock()
			all = append(all, at)
			mu.Unlock()
		})
		next = next.Add(time.Duration((0.5 + rng.Float64()) / rate * float64(time.Second)))
	}
	clients.Wait()
	count, unanswered, held, never := 0, 0, 0, 0
	for _, at := range all {
		if at.sent.After(from) && at.sent.Before(until.Add(calm)) {
			continue
		}
		count++
		took := at.ended.Sub(at.sent)
		if took > timeout {
			unanswered++
		}
		if took > timeout+500*time.Millisecond {
			held++
		}
		if at.status == 0 {
			never++
		}
	}
	summary := fmt.Sprintf("of %d requests sent before the burst or later than %v after it, %d had no answer at TimeoutMs, %d of these had none 500 ms later, and %d were never answered",
		count, calm, unanswered, held, never)
	rc.note("%s", summary)
	if held >= 8 && 2*held > unanswered {
		return []string{"CONFIG: " + summary}, nil
	}
	return nil, nil
}
