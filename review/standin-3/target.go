package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one request that a target has begun to work on.
type Run struct {
	Attempt, Target, Service, Method, URI string
	Body                                  uint64
	BodySize                              int
	Header                                http.Header
	At                                    time.Time
}

// Runs are the runs at all targets.
type Runs struct {
	// brief leaves the runs out of the record.
	brief bool

	mu  sync.Mutex
	all []Run
	by  map[string][]Run
}

func (rs *Runs) add(run Run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.by == nil {
		rs.by = map[string][]Run{}
	}
	rs.all = append(rs.all, run)
	rs.by[run.Attempt] = append(rs.by[run.Attempt], run)
}

// Of returns the runs of a client attempt.
func (rs *Runs) Of(attempt string) []Run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return append([]Run(nil), rs.by[attempt]...)
}

// All returns all runs.
func (rs *Runs) All() []Run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return append([]Run(nil), rs.all...)
}

// Target is a stand-in for a target on a sidecar machine.
type Target struct {
	ID, Service string
	Addr        string
	Slots       int
	Born        int64
	Work        time.Duration
	// Answer makes the body of an answer. The default is a short text.
	Answer func(request *http.Request) []byte

	runs     *Runs
	rec      *Record
	listener net.Listener
	slots    chan struct{}
	control  string

	mu       sync.Mutex
	sequence uint64
	state    string
	quiet    bool
	dark     bool
	ended    bool
	conns    map[net.Conn]struct{}
}

func startTarget(id, service, addr string, slots int, runs *Runs, rec *Record) (*Target, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	tg := &Target{
		ID: id, Service: service, Addr: listener.Addr().String(), Slots: slots, Born: time.Now().UnixMilli(), Work: 20 * time.Millisecond,
		runs: runs, rec: rec, listener: listener, slots: make(chan struct{}, slots), state: "ready", conns: map[net.Conn]struct{}{},
	}
	go tg.accept()
	return tg, nil
}

func (tg *Target) accept() {
	for {
		conn, err := tg.listener.Accept()
		if err != nil {
			return
		}
		tg.mu.Lock()
		tg.conns[conn] = struct{}{}
		tg.mu.Unlock()
		go tg.serve(conn)
	}
}

// Close ends the target.
func (tg *Target) Close() {
	_ = tg.listener.Close()
	tg.mu.Lock()
	defer tg.mu.Unlock()
	tg.ended = true
	for conn := range tg.conns {
		_ = conn.Close()
	}
}

func (tg *Target) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		tg.mu.Lock()
		delete(tg.conns, conn)
		tg.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		answer := tg.answer(request, body)
		tg.mu.Lock()
		dark := tg.dark
		tg.mu.Unlock()
		if dark {
			continue
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

func sumOf(body []byte) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write(body)
	return sum.Sum64()
}

// signatureOf is the signature that a target gives a body for an attempt.
func signatureOf(attempt string, body []byte) string {
	return fmt.Sprintf("%s.%x.%d", attempt, sumOf(body), len(body))
}

func response(status int, header map[string]string, body []byte) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", len(body))
	text.Write(body)
	return text.Bytes()
}

func (tg *Target) answer(request *http.Request, body []byte) []byte {
	attempt := request.Header.Get("Attempt-Id")
	header := map[string]string{"Attempt-Id": attempt}
	switch {
	case request.URL.Path == "/health":
		return response(http.StatusOK, map[string]string{"Instance-Id": tg.ID}, nil)
	case attempt == "":
		return response(http.StatusBadRequest, map[string]string{"Not-Executed": "1"}, nil)
	case request.Header.Get("Expect-Instance") != "" && request.Header.Get("Expect-Instance") != tg.ID:
		header["Instance-Id"] = tg.ID
		return response(http.StatusMisdirectedRequest, header, nil)
	}
	limit := 10 * time.Second
	if text := request.Header.Get("Deadline-Ms"); text != "" {
		millis, _ := strconv.Atoi(text)
		limit = time.Duration(millis) * time.Millisecond
	}
	select {
	case tg.slots <- struct{}{}:
		defer func() { <-tg.slots }()
	case <-time.After(min(limit, 200*time.Millisecond)):
		header["Not-Executed"] = "1"
		return response(http.StatusServiceUnavailable, header, nil)
	}
	tg.runs.add(Run{
		Attempt: attempt, Target: tg.ID, Service: tg.Service, Method: request.Method, URI: request.RequestURI,
		Body: sumOf(body), BodySize: len(body), Header: request.Header, At: time.Now(),
	})
	if !tg.runs.brief {
		tg.rec.Line("run", "attempt", attempt, "target", tg.ID, "service", tg.Service, "method", request.Method, "uri", request.RequestURI, "body-bytes", len(body))
	}
	time.Sleep(tg.Work)
	text := []byte("done by " + tg.ID + "\n")
	if tg.Answer != nil {
		text = tg.Answer(request)
	}
	header["Response-Signature"] = signatureOf(attempt, text)
	return response(http.StatusOK, header, text)
}

func (tg *Target) beatBody() []byte {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	tg.sequence++
	return tg.beatText(tg.state, tg.sequence)
}

func (tg *Target) beatText(state string, sequence uint64) []byte {
	return fmt.Appendf(nil, `{"Address":%q,"Info":{"Service":%q,"Version":"v1","Zone":"khewra","Slots":%d},"Status":{"State":%q,"Sequence":%d,"ColdRemainingMs":0},"born":%d}`,
		tg.Addr, tg.Service, tg.Slots, state, sequence, tg.Born)
}

// call sends a call to the control address of the target's machine and returns the status.
func (tg *Target) call(method string, body []byte) (int, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+tg.control+"/sequoiamill/instances/"+tg.ID, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = answer.Body.Close()
	return answer.StatusCode, nil
}

// beat sends heartbeats until the target ends or is made quiet.
func (tg *Target) beat(every time.Duration) {
	for {
		tg.mu.Lock()
		stop, quiet := tg.ended, tg.quiet
		tg.mu.Unlock()
		if stop {
			return
		}
		if !quiet {
			_, _ = tg.call(http.MethodPut, tg.beatBody())
		}
		time.Sleep(every)
	}
}

// SetState sets the state that the heartbeats tell, and sends one.
func (tg *Target) SetState(state string) (int, error) {
	tg.mu.Lock()
	tg.state = state
	tg.mu.Unlock()
	return tg.call(http.MethodPut, tg.beatBody())
}

// SetDark makes the target silent: it neither sends nor answers.
func (tg *Target) SetDark() {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	tg.dark, tg.quiet = true, true
}

// Quiet ends the heartbeats.
func (tg *Target) Quiet() {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	tg.quiet = true
}
