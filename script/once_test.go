package script

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	onceResends = 6
	oncePause   = 50 * time.Millisecond
)

// once sends bookings with idempotency keys, each through two nodes at once
// and again while its outcome is unknown, until a file exists. It then compares
// the outcomes with the runs that the upstreams counted.
func once() {
	count := flag.Int("callers", 4, "number of callers")
	until := flag.String("until", "", "file that ends the load")
	path := flag.String("path", "/", "path of the requests")
	upstreams := flag.String("upstreams", "", "addresses of the upstreams, separated by commas")
	flag.Parse()
	var mu sync.Mutex
	outcomes := map[string]map[string]int{}
	var group sync.WaitGroup
	for range *count {
		group.Go(func() {
			for !exists(*until) {
				key := uuid.Must(uuid.NewV7()).String()
				seen := book(flag.Args(), *path, key)
				mu.Lock()
				outcomes[key] = seen
				mu.Unlock()
				time.Sleep(oncePause)
			}
		})
	}
	group.Wait()
	checkRuns(outcomes, runsOf(strings.Split(*upstreams, ",")))
}

// book sends a key through two nodes at once, then again while no sending is
// known to have run and one may have, and returns the outcomes of all.
func book(addresses []string, path, key string) map[string]int {
	seen := map[string]int{}
	var mu sync.Mutex
	send := func(address string) {
		outcome := sendKey("http://"+address+path, key)
		mu.Lock()
		defer mu.Unlock()
		seen[outcome]++
	}
	var group sync.WaitGroup
	for _, address := range addresses[:2] {
		group.Go(func() { send(address) })
	}
	group.Wait()
	for number := 0; number < onceResends && seen["unknown"] > 0 && seen["ran"] == 0; number++ {
		time.Sleep(oncePause)
		send(addresses[number%len(addresses)])
	}
	return seen
}

// sendKey sends a booking once and returns its outcome. A whole answer must
// be that of the key.
func sendKey(url, key string) string {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("book "+key))
	if err != nil {
		fail("%v", err)
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if isDialError(err) {
		return "not-run"
	}
	if err != nil {
		return "unknown"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	outcome := response.Header.Get("Sequoiamill-Outcome")
	if err != nil {
		return "unknown"
	}
	if outcome == "ran" && !strings.HasSuffix(string(body), "book "+key) {
		fail("key %s got another answer: %s", key, body)
	}
	return outcome
}

func runsOf(upstreams []string) map[string]int {
	total := map[string]int{}
	for _, address := range upstreams {
		response, err := http.Get("http://" + address + "/runs")
		if err != nil {
			fail("%v", err)
		}
		runs := map[string]int{}
		if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
			fail("%v", err)
		}
		_ = response.Body.Close()
		for key, count := range runs {
			total[key] += count
		}
	}
	return total
}

func checkRuns(outcomes map[string]map[string]int, runs map[string]int) {
	totals := map[string]int{}
	for key, seen := range outcomes {
		switch {
		case runs[key] > 1:
			fail("key %s ran %d times, outcomes %v", key, runs[key], seen)
		case seen["ran"] > 0 && runs[key] != 1:
			fail("key %s did not run, outcomes %v", key, seen)
		case seen["ran"] == 0 && seen["unknown"] == 0 && runs[key] != 0:
			fail("key %s ran, outcomes %v", key, seen)
		}
		for outcome, count := range seen {
			totals[outcome] += count
		}
	}
	if totals["ran"] == 0 {
		fail("no key ran: %v", totals)
	}
	fmt.Printf("%d keys, none ran twice, outcomes %v\n", len(outcomes), totals)
}

// send sends one request and prints how it was answered.
func send() {
	method := flag.String("method", http.MethodPost, "method")
	mode := flag.String("mode", "", "mode of the upstream")
	key := flag.String("key", "", "idempotency key, or new for a fresh one")
	left := flag.String("left", "", "time left in microseconds")
	count := flag.Int("count", 1, "number of requests")
	flag.Parse()
	for number := range *count {
		request, err := http.NewRequest(*method, flag.Arg(0), strings.NewReader(fmt.Sprint("body ", number)))
		if err != nil {
			fail("%v", err)
		}
		request.Header.Set("Fake-Mode", *mode)
		if *left != "" {
			request.Header.Set("Sequoiamill-Time-Left-Micros", *left)
		}
		if *key == "new" {
			request.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
		} else if *key != "" {
			request.Header.Set("Idempotency-Key", *key)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			fail("%v", err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			fail("%v", err)
		}
		_ = response.Body.Close()
		header := response.Header
		fmt.Println(response.StatusCode, header.Get("Sequoiamill-Outcome"), header.Get("Sequoiamill-Error-Kind"), string(body[:min(len(body), 200)]))
	}
}
