// Command lab runs one case of the review: it starts nodes by the command of the deploy file
// beside stand-ins for the platform's store, targets and clients, and checks a rule.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var (
	recordMu sync.Mutex
	record   *os.File
	began    = time.Now()
	// disturbed is false if the case is run without its disruption.
	disturbed = os.Getenv("TROUBLE") != "0"
)

// The exit codes of a case.
const (
	held = iota
	broken
	unable
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(record, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

var cases = map[string]func(folder string) int{}

func main() {
	run, ok := cases[os.Args[1]]
	if !ok || len(os.Args) != 3 {
		os.Exit(unable)
	}
	var err error
	record, err = os.Create(os.Args[2])
	must(err)
	folder, err := os.MkdirTemp("", "review")
	must(err)
	code := guarded(run, folder)
	note("exit %d", code)
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// guarded runs a case and ends the nodes that it started, also if the case could not run to
// its end.
func guarded(run func(folder string) int, folder string) (code int) {
	code = unable
	defer func() {
		if failed := recover(); failed != nil {
			note("the case could not run: %v", failed)
		}
		for _, nd := range started {
			nd.close()
		}
	}()
	return run(folder)
}
