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
	stopTimeout    = 8 * time.Second
)

// Process is a child process that an experiment started.
type Process struct {
	cmd  *exec.Cmd
	log  *outputTail
	done chan struct{}
}

// startProcess runs this executable again with the given arguments and input.
func startProcess(input string, args ...string) (*Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, errors.WithMessage(err, "find the program")
	}
	ps := &Process{cmd: exec.Command(program, args...), log: &outputTail{}, done: make(chan struct{})}
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

// kill kills the process and waits for its end.
func (ps *Process) kill() {
	_ = ps.cmd.Process.Kill()
	<-ps.done
}

// stop asks the process to end, and kills it if it runs longer than stopTimeout.
func (ps *Process) stop() {
	_ = ps.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ps.done:
	case <-time.After(stopTimeout):
		ps.kill()
	}
}

// alive reports whether the process is still running.
func (ps *Process) alive() bool {
	select {
	case <-ps.done:
		return false
	default:
		return true
	}
}

// Usage holds the resources that a process has used since its start.
type Usage struct {
	CPU time.Duration
	// ResidentBytes is the current resident memory in bytes.
	ResidentBytes int64
	// BytesRead and BytesWritten are the bytes read and written.
	BytesRead, BytesWritten int64
}

// Sub returns the usage since an earlier reading, except that ResidentBytes
// remains the current value.
func (u Usage) Sub(earlier Usage) Usage {
	u.CPU -= earlier.CPU
	u.BytesRead -= earlier.BytesRead
	u.BytesWritten -= earlier.BytesWritten
	return u
}

// usage reads the resource usage of the process from /proc.
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

// parseUsage parses the contents of the files stat and io in /proc/PID.
func parseUsage(stat, counts string) (Usage, error) {
	const (
		userField     = 11
		systemField   = 12
		residentField = 21
	)
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= residentField {
		return Usage{}, errors.Errorf("/proc/PID/stat has too few fields: %q", stat)
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
		CPU:           time.Duration(user+system) * time.Second / ticksPerSecond,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}
	for line := range strings.Lines(counts) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "rchar":
			usage.BytesRead, err = strconv.ParseInt(value, 10, 64)
		case "wchar":
			usage.BytesWritten, err = strconv.ParseInt(value, 10, 64)
		}
		if err != nil {
			return Usage{}, err
		}
	}
	return usage, nil
}

// outputTail is a writer that keeps the last bytes written to it.
type outputTail struct {
	mu   sync.Mutex
	text []byte
}

const outputTailSize = 8 << 10

var _ io.Writer = (*outputTail)(nil)

// Write implements io.Writer.
func (tl *outputTail) Write(text []byte) (int, error) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.text = append(tl.text, text...)
	if extra := len(tl.text) - outputTailSize; extra > 0 {
		tl.text = bytes.Clone(tl.text[extra:])
	}
	return len(text), nil
}

// String returns the last outputTailSize bytes of the output.
func (tl *outputTail) String() string {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	return string(tl.text)
}
