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
	"sync"
	"syscall"
	"time"
)

// Node is a machine with a process of the system.
type Node struct {
	Name, Zone, Service                    string
	Outbound, Inbound, Ready, Control, App string

	lab   *Lab
	first bool
	// store is the address at which the node finds the store.
	store string
	port  int
	// held are the listeners that keep the node's ports until its first start.
	held []net.Listener

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Ports are taken from below those that the system gives to outgoing connections, each once in
// a play.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// freePorts returns free ports and the listeners that keep them until they are used.
func (lb *Lab) freePorts(count int) ([]int, []net.Listener, error) {
	if lb.nextPort == 0 {
		lb.nextPort = firstPort + rand.IntN(lastPort-firstPort)
	}
	var ports []int
	var held []net.Listener
	for tries := 0; len(ports) < count; tries++ {
		if tries > 1000 {
			return nil, nil, cantRun("no free ports")
		}
		port := lb.nextPort
		if lb.nextPort++; lb.nextPort == lastPort {
			lb.nextPort = firstPort
		}
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		ports, held = append(ports, port), append(held, listener)
	}
	return ports, held, nil
}

func (lb *Lab) newNode(name, zone, service string) (*Node, error) {
	ports, held, err := lb.freePorts(6)
	if err != nil {
		return nil, err
	}
	store := lb.store.Addr
	if lb.ownStoreAddresses {
		if store, err = lb.store.Listen(); err != nil {
			return nil, err
		}
	}
	at := func(i int) string { return "127.0.0.1:" + strconv.Itoa(ports[i]) }
	nd := &Node{Name: name, Zone: zone, Service: service, Outbound: at(0), Inbound: at(1), Ready: at(2), Control: at(3), App: at(4), port: ports[5], lab: lb, first: true, store: store, held: held}
	lb.nodes = append(lb.nodes, nd)
	return nd, nil
}

// settings are those of a machine of a small deployment.
func (nd *Node) settings() string {
	return fmt.Sprintf(`NodeName = %q
Role = "mesh-node"
MachineClass = "sidecar"
Serves = ["sidecar"]
Ip = "127.0.0.1"
Zone = %q
Region = "salt-range"
InternalPorts = [%d,%d]
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
khewra = "salt-range"
warcha = "salt-range"
kalabagh = "salt-range"
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
ConfigApplyMs = %d
RollbackSlackMs = 250
MaxStretchMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 60
RecoveryS = 15
[Platform]
Address = %q
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`, nd.Name, nd.Zone, nd.port, nd.port, nd.first, nd.App, nd.Service, nd.Inbound, nd.Outbound, nd.Ready, nd.Control, memoryMb, nd.lab.configApply.Milliseconds(), nd.store)
}

// memoryMb is the memory of a process in the sheet of a small deployment.
const memoryMb = 284

// releasePorts frees the ports that the process and the target listen at.
func (nd *Node) releasePorts() {
	for _, listener := range nd.held {
		_ = listener.Close()
	}
	nd.held = nil
}

// Start starts the process with the command of the deploy file.
func (nd *Node) Start() error {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	path := filepath.Join(nd.lab.dir, nd.Name+".toml")
	if err := os.WriteFile(path, []byte(nd.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(nd.lab.dir, nd.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	nd.releasePorts()
	program := filepath.Join(nd.lab.root, "target", "sequoiamill")
	cmd := exec.Command(program, "hosted")
	if nd.lab.descriptors > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" hosted`, nd.lab.descriptors), program)
	}
	cmd.Dir = nd.lab.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + nd.lab.dir, "LANG=C", "SEQUOIAMILL_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	nd.cmd, nd.first = cmd, false
	done := make(chan struct{})
	nd.done = done
	nd.lab.rec.Line("start", "node", nd.Name, "pid", cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		nd.lab.rec.Line("exit", "node", nd.Name, "pid", cmd.Process.Pid, "state", fmt.Sprint(err))
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (nd *Node) Signal(signal syscall.Signal) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.lab.rec.Line("signal", "node", nd.Name, "signal", signal.String())
	if nd.cmd != nil {
		_ = nd.cmd.Process.Signal(signal)
	}
}

// Kill kills the process and waits for its end.
func (nd *Node) Kill() {
	nd.Signal(syscall.SIGKILL)
	nd.Wait()
}

// Wait waits for the end of the process.
func (nd *Node) Wait() {
	nd.mu.Lock()
	done := nd.done
	nd.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Running reports whether the process runs.
func (nd *Node) Running() bool {
	nd.mu.Lock()
	done := nd.done
	nd.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// IsReady asks the node whether it is ready.
func (nd *Node) IsReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + nd.Ready + "/sequoiamill/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
