package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	slotCount = 9
	beatTime  = 1500 * time.Millisecond
	// maxFds is the number of descriptors that a node may have.
	maxFds = 4100
)

// lab is a small deployment: the store, the machines and what was seen.
type lab struct {
	record   *recorder
	store    *store
	folder   string
	run      string
	machines []*machine
	ended    atomic.Bool
	trouble  bool

	mu   sync.Mutex
	runs []run
	// failures are the times at which a target failed a request.
	failures []time.Time
}

func (lb *lab) running() bool { return !lb.ended.Load() }

func (lb *lab) ran(rn run) {
	lb.mu.Lock()
	lb.runs = append(lb.runs, rn)
	lb.mu.Unlock()
	lb.record.note("target %s of %s runs %s %s, tenant %q", rn.target, rn.service, rn.id, rn.path, rn.tenant)
}

// failed notes that a target has failed a request.
func (lb *lab) failed(id string) {
	lb.mu.Lock()
	lb.failures = append(lb.failures, time.Now())
	lb.mu.Unlock()
	lb.record.note("the run of %s fails", id)
}

// runsOf returns how often a request was run.
func (lb *lab) runsOf(id string) []run {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	var found []run
	for _, rn := range lb.runs {
		if rn.id == id {
			found = append(found, rn)
		}
	}
	return found
}

func (lb *lab) zoneTable() string {
	var lines []string
	for _, mc := range lb.machines {
		if line := mc.zone + ` = "region-1"`; !strings.Contains(strings.Join(lines, "\n"), line) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

// place says where a machine stands and what its target serves.
type place struct {
	zone, service string
	link          float64
}

// newLab starts the store, the nodes and the targets, and waits until all nodes are ready.
func newLab(rc *recorder, trouble bool, config any, places ...place) (*lab, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	lb := &lab{record: rc, folder: folder, run: "target/sequoiamill hosted", trouble: trouble}
	if lb.store, err = startStore(); err != nil {
		return lb, err
	}
	lb.store.put("config", "main", config)
	for _, pl := range places {
		if _, err := lb.add(pl); err != nil {
			return lb, err
		}
	}
	for _, mc := range lb.machines {
		if err := mc.join(true); err != nil {
			return lb, err
		}
	}
	if !lb.awaitReady(20 * time.Second) {
		return lb, fmt.Errorf("the nodes did not become ready")
	}
	time.Sleep(3 * time.Second)
	return lb, nil
}

// add adds a machine on which nothing runs yet.
func (lb *lab) add(pl place) (*machine, error) {
	number := len(lb.machines) + 1
	mc := &machine{
		lab: lb, name: fmt.Sprintf("sidecar-%s-%d", pl.zone, number), zone: pl.zone, service: pl.service, link: pl.link,
		ip: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, number),
	}
	ports, err := freePorts(mc.ip, 6)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return fmt.Sprintf("%s:%d", mc.ip, ports[i]) }
	mc.inbound, mc.outbound, mc.ready, mc.control, mc.app, mc.internal = address(0), address(1), address(2), address(3), address(4), ports[5]
	mc.boot = filepath.Join(lb.folder, mc.name+".toml")
	lb.machines = append(lb.machines, mc)
	return mc, nil
}

// join starts a machine's node and target. first is true if the whole system starts.
func (mc *machine) join(first bool) error {
	if err := mc.start(first); err != nil {
		return err
	}
	if err := mc.startTarget("i-" + newID()); err != nil {
		return err
	}
	go mc.probe()
	return nil
}

func (lb *lab) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, mc := range lb.machines {
			if mc.isIn() {
				ready++
			}
		}
		if ready == len(lb.machines) {
			return true
		}
	}
	return false
}

// mayUse reports whether the clients of a machine send it new work: its node is in, or
// fewer than half of its zone's nodes are.
func (lb *lab) mayUse(mc *machine) bool {
	in, all := 0, 0
	for _, other := range lb.machines {
		if other.zone != mc.zone {
			continue
		}
		all++
		if other.isIn() {
			in++
		}
	}
	return mc.isIn() || 2*in < all
}

// close ends all processes that the lab started.
func (lb *lab) close() {
	lb.ended.Store(true)
	for _, mc := range lb.machines {
		if mc.target != nil {
			mc.target.stop()
			_ = mc.target.server.Close()
		}
		mc.mu.Lock()
		command := mc.command
		mc.mu.Unlock()
		if command != nil {
			_ = command.Process.Signal(syscall.SIGCONT)
			_ = command.Process.Kill()
			mc.await(3 * time.Second)
		}
	}
	if lb.store != nil {
		_ = lb.store.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(lb.folder)
	} else {
		fmt.Println("logs:", lb.folder)
	}
}

// table is a list of records as columns and rows.
type table struct {
	Columns []string
	Rows    [][]any
}

// config is the operator's configuration.
type config struct {
	Version  string
	Routes   table
	Services table
	Tenants  *table `json:",omitempty"`
	Limits   map[string]int
}

func newConfig(version uint32, services []string, routes ...[]any) config {
	cf := config{
		Version:  fmt.Sprintf("%08x", version),
		Routes:   table{Columns: []string{"Name", "Host", "PathPrefix", "Kind", "TimeoutMs", "AimMs", "Priority", "Service", "MaxAttempts", "AuthExempt", "TrafficSplit"}, Rows: routes},
		Services: table{Columns: []string{"Name", "HealthPath", "MaxConnections", "Protocol", "Tls"}},
		Limits:   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
	}
	for _, service := range services {
		cf.Services.Rows = append(cf.Services.Rows, []any{service, "/health", 130, "h1", false})
	}
	return cf
}
