package bench

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	ticksPerSecond = 100
	stopLimit      = 8 * time.Second
)

// Process is one process that the experiment started.
type Process struct {
	cmd  *exec.Cmd
	log  *tail
	done chan struct{}
}

// startProcess runs this program again with other arguments.
func startProcess(input string, args ...string) (*Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, errors.WithMessage(err, "find the program")
	}
	ps := &Process{cmd: exec.Command(program, args...), log: &tail{}, done: make(chan struct{})}
	ps.cmd.Stdin = strings.NewReader(input)
	ps.cmd.Stdout = ps.log
	ps.cmd.Stderr = ps.log
	ps.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := ps.cmd.Start(); err != nil {
		return nil, errors.WithMessage(err, "start a process")
	}
	go func() {
		_ = ps.cmd.Wait()
		close(ps.done)
	}()
	return ps, nil
}

// kill ends the process at once.
func (ps *Process) kill() {
	_ = ps.cmd.Process.Kill()
	<-ps.done
}

// stop ends the process gracefully, or at once after a limit.
func (ps *Process) stop() {
	_ = ps.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ps.done:
	case <-time.After(stopLimit):
		ps.kill()
	}
}

// alive reports whether the process still runs.
func (ps *Process) alive() bool {
	select {
	case <-ps.done:
		return false
	default:
		return true
	}
}

// Usage is what a process has used since its start.
type Usage struct {
	CPU time.Duration
	// Resident is the present memory in bytes.
	Resident int64
	// In and Out are the bytes read and written.
	In, Out int64
}

// Sub returns what was used since an earlier reading; the memory stays.
func (u Usage) Sub(earlier Usage) Usage {
	u.CPU -= earlier.CPU
	u.In -= earlier.In
	u.Out -= earlier.Out
	return u
}

// usage reads what the process has used.
func (ps *Process) usage() (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", ps.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return Usage{}, err
	}
	counts, err := os.ReadFile(dir + "io")
	if err != nil {
		return Usage{}, err
	}
	return parseUsage(string(stat), string(counts))
}

// parseUsage reads the kernel's accounts of a process.
func parseUsage(stat, counts string) (Usage, error) {
	const (
		userField     = 11
		systemField   = 12
		residentField = 21
	)
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= residentField {
		return Usage{}, errors.Errorf("the process account %q is short", stat)
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	usage := Usage{
		CPU:      time.Duration(user+system) * time.Second / ticksPerSecond,
		Resident: pages * int64(os.Getpagesize()),
	}
	for line := range strings.Lines(counts) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "rchar":
			usage.In, err = strconv.ParseInt(value, 10, 64)
		case "wchar":
			usage.Out, err = strconv.ParseInt(value, 10, 64)
		}
		if err != nil {
			return Usage{}, err
		}
	}
	return usage, nil
}

// tail keeps the last output of a process.
type tail struct {
	mu   sync.Mutex
	text []byte
}

const tailSize = 8 << 10

var _ io.Writer = (*tail)(nil)

// Write keeps the text.
func (tl *tail) Write(text []byte) (int, error) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.text = append(tl.text, text...)
	if extra := len(tl.text) - tailSize; extra > 0 {
		tl.text = bytes.Clone(tl.text[extra:])
	}
	return len(text), nil
}

// String returns the last output.
func (tl *tail) String() string {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	return string(tl.text)
}
