package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// machine is one machine of the deployment: a node of the project and the target beside it.
type machine struct {
	lab     *lab
	name    string
	zone    string
	service string
	ip      string
	// settings are lines that replace those of the same name in the settings file.
	link     float64
	inbound  string
	outbound string
	ready    string
	control  string
	app      string
	internal int
	boot     string

	mu      sync.Mutex
	command *exec.Cmd
	started int
	exited  chan struct{}
	// version is that of the target, or empty for v1. bad says which of its requests fail.
	version string
	bad     func(path string) bool
	// misses counts the questions in a row that were not answered with 200.
	misses int
	in     bool
	// peak is the most memory that the node had, in bytes.
	peak   int
	target *target
}

// freePorts returns loopback ports that were free a moment ago.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func (mc *machine) write(first bool) error {
	text := fmt.Sprintf(`NodeName = %q
Role = "mesh-node"
MachineClass = "sidecar"
Serves = ["sidecar"]
Ip = %q
Zone = %q
Region = "region-1"
InternalPorts = [%d,%d]
Seeds = []
FirstStart = %t
FaultCounted = false
Discovery = "static"
Entry = "static"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","retry","recover","tenants","quota","rollout","platform"]
AppAddr = %q
Service = %q
[Zones]
%s
[Listen]
Inbound = %q
Outbound = %q
Ready = %q
Control = %q
[Limits]
CpuShare = 0.32
CpuCores = 1
MemoryMb = %d
MaxFds = %d
LinkMbps = %.1f
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
StabilityMs = 3000
AckMs = 5000
CatchUpS = 6
DrainMs = 2500
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2500
RollbackSlackMs = 250
MaxStretchMs = 5000
StrictRevoke = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 60
QuotaWindowS = 5
QuotaOver = 0.1
QuotaSlack = 20
ExposeShare = 0.1
ExposeSlack = 50
RollbackMs = 5000
RecoveryS = 15
[Platform]
Address = %q
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`, mc.name, mc.ip, mc.zone, mc.internal, mc.internal, first, mc.app, mc.service, mc.lab.zoneTable(),
		mc.inbound, mc.outbound, mc.ready, mc.control, memoryMb, maxFds, mc.link, mc.lab.store.address)
	return os.WriteFile(mc.boot, []byte(text), 0o600)
}

// start starts the node with the command of the deploy file.
func (mc *machine) start(first bool) error {
	if err := mc.write(first); err != nil {
		return err
	}
	// The platform's limit on descriptors is set, and the shell becomes the program.
	command := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", maxFds, mc.lab.run))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIAMILL_BOOT=" + mc.boot}
	log, err := os.OpenFile(filepath.Join(mc.lab.folder, mc.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = log, log
	// The node ends with the stand-in, whatever becomes of that.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	mc.mu.Lock()
	mc.command, mc.exited = command, exited
	mc.started++
	mc.mu.Unlock()
	mc.lab.record.note("node %s starts, process %d", mc.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		_ = log.Close()
		detail := "with status 0"
		if err != nil {
			detail = err.Error()
		}
		mc.lab.record.note("node %s ends: %s", mc.name, detail)
		close(exited)
	}()
	return nil
}

func (mc *machine) signal(sig syscall.Signal) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	if mc.command == nil {
		return
	}
	mc.lab.record.note("node %s gets %s", mc.name, sig)
	if err := mc.command.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		mc.lab.record.note("node %s: %v", mc.name, err)
	}
}

// await waits until the node's process has ended.
func (mc *machine) await(limit time.Duration) bool {
	mc.mu.Lock()
	exited := mc.exited
	mc.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// probe asks the node once a second whether it is ready, as the platform does.
func (mc *machine) probe() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for mc.lab.running() {
		began := time.Now()
		response, err := client.Get("http://" + mc.ready + "/sequoiamill/ready")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		mc.mu.Lock()
		before := mc.in
		if ok {
			mc.misses, mc.in = 0, true
		} else if mc.misses++; mc.misses >= 2 {
			mc.in = false
		}
		after := mc.in
		mc.mu.Unlock()
		if before != after {
			mc.lab.record.note("node %s takes work of clients: %t", mc.name, after)
		}
		time.Sleep(time.Until(began.Add(time.Second)))
	}
}

func (mc *machine) isIn() bool {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	return mc.in
}
