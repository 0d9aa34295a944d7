package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// nodeProcess is a node, run by the command of the deploy file as the platform runs it: it
// is started again when it ends, and killed when it is above its limit of memory.
type nodeProcess struct {
	name, settings, folder           string
	inbound, outbound, ready, listen string
	memoryMb                         int

	mu      sync.Mutex
	command *exec.Cmd
	closing bool
	// ends counts the ends that the test did not cause, and kills those for memory.
	ends, kills int
	peakMb      int
	log         *os.File
	done        chan struct{}
}

// started are the nodes that the case started.
var started []*nodeProcess

// freeAddress returns an address that nobody listens at, with a port below those that the
// system gives to outgoing connections.
func freeAddress() string {
	for {
		address := "127.0.0.1:" + strconv.Itoa(10_000+rand.IntN(20_000))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// programs returns the folder of the checkout and the command of the deploy file.
func programs() (root string, command []string) {
	root, err := os.Getwd()
	must(err)
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	must(err)
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return root, strings.Fields(strings.Trim(rest, `"`))
		}
	}
	panic("the deploy file has no command")
}

func newNode(folder, name, zone, service, platform, app string, memoryMb int) *nodeProcess {
	nd := &nodeProcess{name: name, memoryMb: memoryMb, done: make(chan struct{}), inbound: freeAddress(), outbound: freeAddress(), ready: freeAddress(), listen: freeAddress()}
	nd.folder = folder
	nd.settings = filepath.Join(folder, name+".toml")
	nd.writeSettings(zone, service, platform, app, true)
	var err error
	nd.log, err = os.Create(filepath.Join(folder, name+".log"))
	must(err)
	nd.start()
	started = append(started, nd)
	time.AfterFunc(3*time.Second, func() { nd.writeSettings(zone, service, platform, app, false) })
	go nd.watch()
	return nd
}

func (nd *nodeProcess) writeSettings(zone, service, store, app string, first bool) {
	_, port, _ := net.SplitHostPort(freeAddress())
	if text, err := os.ReadFile(nd.settings); err == nil {
		_, rest, _ := strings.Cut(string(text), "InternalPorts = [")
		port, _, _ = strings.Cut(rest, ",")
	}
	must(os.WriteFile(nd.settings, []byte(fmt.Sprintf(`NodeName = %q
Role = "mesh-node"
MachineClass = "sidecar"
Serves = ["sidecar"]
Ip = "127.0.0.1"
Zone = %q
Region = "bengal-west"
InternalPorts = [%s,%s]
Seeds = []
FirstStart = %t
FaultCounted = false
Discovery = "static"
Entry = "static"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","retry","recover","platform"]
AppAddr = %q
Service = %q
[Zones]
kolkata = "bengal-west"
howrah = "bengal-west"
[Listen]
Inbound = %q
Outbound = %q
Ready = %q
Control = %q
[Limits]
CpuShare = 0.32
CpuCores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
StabilityMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 64
RecoveryS = 15
[Platform]
Address = %q
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`, nd.name, zone, port, port, first, app, service, nd.inbound, nd.outbound, nd.ready, nd.listen, nd.memoryMb, store)), 0o600))
}

// start starts the process, unless the case is at its end.
func (nd *nodeProcess) start() bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.closing {
		return false
	}
	root, words := programs()
	command := exec.Command(filepath.Join(root, words[0]), words[1:]...)
	command.Dir = root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIAMILL_BOOT=" + nd.settings}
	command.Stdout, command.Stderr = nd.log, nd.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(command.Start())
	nd.command = command
	return true
}

// watch starts the process again when it ends.
func (nd *nodeProcess) watch() {
	defer close(nd.done)
	stop := make(chan struct{})
	defer close(stop)
	go nd.limitMemory(stop)
	for {
		nd.mu.Lock()
		command := nd.command
		nd.mu.Unlock()
		_ = command.Wait()
		nd.mu.Lock()
		closing := nd.closing
		if !closing {
			nd.ends++
		}
		nd.mu.Unlock()
		if closing {
			return
		}
		time.Sleep(300 * time.Millisecond)
		if !nd.start() {
			return
		}
	}
}

// memoryMbOf returns the resident memory of a process.
func memoryMbOf(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// limitMemory kills the process when it is above MemoryMb.
func (nd *nodeProcess) limitMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		nd.mu.Lock()
		if nd.command != nil && nd.command.ProcessState == nil {
			used := memoryMbOf(nd.command.Process.Pid)
			nd.peakMb = max(nd.peakMb, used)
			if used > nd.memoryMb {
				nd.kills++
				note("the platform kills %s: %d MB of %d", nd.name, used, nd.memoryMb)
				_ = nd.command.Process.Kill()
				nd.mu.Unlock()
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		nd.mu.Unlock()
	}
}

func (nd *nodeProcess) signal(sig syscall.Signal) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	_ = nd.command.Process.Signal(sig)
}

func (nd *nodeProcess) close() {
	nd.mu.Lock()
	nd.closing = true
	_ = nd.command.Process.Kill()
	nd.mu.Unlock()
	<-nd.done
	_ = nd.log.Close()
}

func (nd *nodeProcess) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + nd.ready + "/sequoiamill/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func awaitReady(nodes ...*nodeProcess) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, nd := range nodes {
			if nd.isReady() {
				ready++
			}
		}
		if ready == len(nodes) {
			return true
		}
	}
	return false
}
