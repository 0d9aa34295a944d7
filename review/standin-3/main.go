// Command lab plays the cases of the review that can't be put as a day of the bench. It
// starts the project's program with the command of the deploy file, and stands in for the
// platform, its store, the targets and the clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// Line writes one line: an event with names and values.
func (rc *Record) Line(event string, values ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	var text strings.Builder
	fmt.Fprintf(&text, "%8.3f %s", time.Since(rc.began).Seconds(), event)
	for i := 0; i+1 < len(values); i += 2 {
		fmt.Fprintf(&text, " %v=%v", values[i], values[i+1])
	}
	_, _ = fmt.Fprintln(rc.file, text.String())
}

// Lab is one play of a case.
type Lab struct {
	root, dir string
	trouble   bool
	rec       *Record
	store     *Store
	runs      *Runs
	nodes     []*Node
	targets   []*Target
	// ownStoreAddresses gives each node an address of the store of its own.
	ownStoreAddresses bool
	nextPort          int
	// descriptors limits those of each process, unless it is 0.
	descriptors int
	// configApply is the time in which a version has to be in force.
	configApply time.Duration
	nextID      int
	mu          sync.Mutex
}

// errCantRun means that the case couldn't be played.
type errCantRun struct{ reason string }

func (e errCantRun) Error() string { return e.reason }

func cantRun(format string, args ...any) error { return errCantRun{fmt.Sprintf(format, args...)} }

// cases return whether the rule held.
var cases = map[string]func(*Lab) (bool, error){}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE ROOT RECORD")
		return 2
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, _ := filepath.Abs(os.Args[2])
	lab := &Lab{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: &Record{file: file, began: time.Now()}, runs: &Runs{}, configApply: 2 * time.Second}
	defer func() { _ = os.RemoveAll(dir) }()
	defer lab.end()
	breakOff := func(reason string) {
		lab.rec.Line("result", "reason", reason)
		lab.end()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}
	watchdog := time.AfterFunc(115*time.Second, func() { breakOff("the play took too long") })
	defer watchdog.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		breakOff("the play was ended from outside")
	}()
	held, err := run(lab)
	switch {
	case err != nil:
		lab.rec.Line("result", "reason", err)
		fmt.Println("could not run:", err)
		return 2
	case held:
		lab.rec.Line("result", "rule", "held")
		fmt.Println("the rule held")
		return 0
	default:
		lab.rec.Line("result", "rule", "broken")
		fmt.Println("the rule was broken")
		return 1
	}
}

// end ends all processes and targets.
func (lb *Lab) end() {
	for _, nd := range lb.nodes {
		if nd.Running() {
			nd.Kill()
		}
	}
	for _, tg := range lb.targets {
		tg.Close()
	}
}

// addMachine starts a node and the target beside it.
func (lb *Lab) addMachine(name, zone, service string, slots int) (*Node, *Target, error) {
	nd, err := lb.newNode(name, zone, service)
	if err != nil {
		return nil, nil, err
	}
	nd.releasePorts()
	tg, err := startTarget("i-"+name+"-1", service, nd.App, slots, lb.runs, lb.rec)
	if err != nil {
		return nil, nil, err
	}
	tg.control = nd.Control
	lb.targets = append(lb.targets, tg)
	go tg.beat(1500 * time.Millisecond)
	return nd, tg, nd.Start()
}

// awaitReady waits until all nodes are ready.
func (lb *Lab) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, nd := range lb.nodes {
		for !nd.IsReady() {
			if !nd.Running() {
				return cantRun("the process of %s has ended", nd.Name)
			}
			if time.Now().After(until) {
				return cantRun("node %s is not ready after %s", nd.Name, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	lb.rec.Line("ready", "nodes", len(lb.nodes))
	return nil
}

// route is a row of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, aimMs, priority        int
}

const (
	limitBody = 67_108_864
	host      = "ficu95.example"
)

// config returns a configuration as the operator writes it.
func config(version int, routes []route, services ...string) map[string]any {
	rows := [][]any{}
	for _, rt := range routes {
		rows = append(rows, []any{rt.name, rt.host, rt.prefix, rt.kind, rt.timeoutMs, rt.aimMs, rt.priority, rt.service, 2, nil})
	}
	serviceRows := [][]any{}
	for _, name := range services {
		serviceRows = append(serviceRows, []any{name, "/health", 120, "h1", false})
	}
	return map[string]any{
		"Version":  fmt.Sprintf("%08x", version),
		"Routes":   map[string]any{"Columns": []string{"Name", "Host", "PathPrefix", "Kind", "TimeoutMs", "AimMs", "Priority", "Service", "MaxAttempts", "TrafficSplit"}, "Rows": rows},
		"Services": map[string]any{"Columns": []string{"Name", "HealthPath", "MaxConnections", "Protocol", "Tls"}, "Rows": serviceRows},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": limitBody, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
