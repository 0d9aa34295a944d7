package script

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sendLoad sends requests in sequence. It fails unless each request gets the
// complete answer to its own body.
func sendLoad() {
	count := flag.Int("count", 1, "number of requests")
	flag.Parse()
	for number := range *count {
		want := fmt.Sprintf("body-%d", number)
		response, err := http.Post(flag.Arg(0), "text/plain", strings.NewReader(want))
		if err != nil {
			fail("request %d: %v", number, err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), want) {
			fail("request %d: %s %v %q", number, response.Status, err, body)
		}
		_ = response.Body.Close()
	}
	fmt.Printf("%d complete answers\n", *count)
}

// runCallers runs concurrent callers that send requests until a file exists. If a
// request did not run, the caller resends it to the next address. Any other
// result than the complete answer to the request's own body is a failure.
func runCallers() {
	count := flag.Int("callers", 8, "number of callers")
	until := flag.String("until", "", "file that ends the load")
	path := flag.String("path", "/", "path of the requests")
	pause := flag.Duration("pause", 0, "time between two requests of a caller")
	flag.Parse()
	var sent atomic.Int64
	var group sync.WaitGroup
	for number := range *count {
		group.Go(func() {
			caller := &caller{addresses: flag.Args(), addressIndex: number, path: *path}
			for !fileExists(*until) {
				caller.call(fmt.Sprintf("body-%d-%d", number, sent.Add(1)))
				time.Sleep(*pause)
			}
		})
	}
	group.Wait()
	fmt.Printf("all %d answers were complete\n", sent.Load())
}

func fileExists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

// caller sends one request at a time to the address that addressIndex selects.
type caller struct {
	addresses    []string
	addressIndex int
	path         string
}

func (c *caller) call(body string) {
	for {
		wait, done := c.try(body)
		if done {
			return
		}
		c.addressIndex++
		time.Sleep(wait)
	}
}

// try sends a request once. It returns true if the complete answer arrived. If
// the request did not run, it returns false and the delay before the next
// attempt. Any other result is a failure.
func (c *caller) try(want string) (time.Duration, bool) {
	address := c.addresses[c.addressIndex%len(c.addresses)]
	response, err := http.Post("http://"+address+c.path, "text/plain", strings.NewReader(want))
	if isDialError(err) {
		return 0, false
	}
	if err != nil {
		fail("%s: %v", want, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		fail("%s: %v", want, err)
	}
	if response.Header.Get("Sequoiamill-Outcome") == "not-run" {
		millis, _ := strconv.Atoi(response.Header.Get("Sequoiamill-Retry-After-Millis"))
		return time.Duration(millis) * time.Millisecond, false
	}
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), want) {
		fail("%s: %s %q", want, response.Status, body)
	}
	return 0, true
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
