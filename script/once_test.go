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
	maxResends = 6
	sendPause  = 50 * time.Millisecond
)

// checkAtMostOnce sends bookings with idempotency keys until a file exists. Each
// booking is sent through two nodes concurrently, and resent while its outcome is
// unknown. At the end, checkAtMostOnce compares the outcomes of each key with the
// number of runs that the upstreams counted for that key.
func checkAtMostOnce() {
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
			for !fileExists(*until) {
				key := uuid.Must(uuid.NewV7()).String()
				seen := sendBooking(flag.Args(), *path, key)
				mu.Lock()
				outcomes[key] = seen
				mu.Unlock()
				time.Sleep(sendPause)
			}
		})
	}
	group.Wait()
	checkRuns(outcomes, fetchRuns(strings.Split(*upstreams, ",")))
}

// sendBooking sends a booking with the key through two nodes concurrently. It
// resends the booking, at most maxResends times, while no request has the outcome
// ran and at least one has the outcome unknown. It returns how often each outcome
// occurred.
func sendBooking(addresses []string, path, key string) map[string]int {
	seen := map[string]int{}
	var mu sync.Mutex
	send := func(address string) {
		outcome := sendWithKey("http://"+address+path, key)
		mu.Lock()
		defer mu.Unlock()
		seen[outcome]++
	}
	var group sync.WaitGroup
	for _, address := range addresses[:2] {
		group.Go(func() { send(address) })
	}
	group.Wait()
	for number := 0; number < maxResends && seen["unknown"] > 0 && seen["ran"] == 0; number++ {
		time.Sleep(sendPause)
		send(addresses[number%len(addresses)])
	}
	return seen
}

// sendWithKey sends a booking once and returns its outcome. It fails if the
// outcome is ran but the body is not the answer to a booking with this key.
func sendWithKey(url, key string) string {
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

// fetchRuns returns how often each idempotency key ran, summed over the upstreams.
func fetchRuns(upstreams []string) map[string]int {
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

// checkRuns compares the outcomes of each key with its number of runs. It fails
// if a key ran more than once, if a key with the outcome ran did not run, if a key
// ran although all its requests had the outcome not-run, or if no key has the
// outcome ran.
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

// send sends a request, or several in sequence, and prints the status, the
// outcome, the error kind and the first 200 bytes of the body of each answer.
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
