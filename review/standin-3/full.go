package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

func init() { cases["full"] = playFull }

const (
	stability  = 3 * time.Second
	users      = 1450
	burstTimes = 2.6
	burstFor   = 6 * time.Second
	userEvery  = 6 * time.Second
	descriptor = 4100
)

// arrival is a client that opens a connection: when it did so, and when the first answer on it
// came, or zero.
type arrival struct{ opened, taken time.Time }

// arrivals collects the clients that open connections.
type arrivals struct {
	mu  sync.Mutex
	all []*arrival
}

func (as *arrivals) opened() *arrival {
	as.mu.Lock()
	defer as.mu.Unlock()
	ar := &arrival{opened: time.Now()}
	as.all = append(as.all, ar)
	return ar
}

func (as *arrivals) taken(ar *arrival) {
	as.mu.Lock()
	defer as.mu.Unlock()
	if ar.taken.IsZero() {
		ar.taken = time.Now()
	}
}

// visit opens a connection and sends a request each time until the end, and leaves. It returns
// how many requests were served. A client whose first request is not answered leaves.
func (lb *Lab) visit(nd *Node, as *arrivals, until time.Time, every time.Duration) (served, sent int) {
	ar := as.opened()
	conn, err := net.DialTimeout("tcp", nd.Outbound, time.Second)
	if err != nil {
		return 0, 1
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		id := lb.attemptID()
		_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
		sent++
		fmt.Fprintf(conn, "POST /confirm/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n", id, host, id)
		answer, err := http.ReadResponse(reader, &http.Request{Method: "POST"})
		if err != nil {
			return served, sent
		}
		text, err := io.ReadAll(answer.Body)
		if err != nil {
			return served, sent
		}
		as.taken(ar)
		if answer.StatusCode == http.StatusOK && answer.Header.Get("Response-Signature") == signatureOf(id, text) {
			served++
		}
		if answer.Close || time.Now().Add(every).After(until) {
			time.Sleep(time.Until(until))
			return served, sent
		}
		time.Sleep(every)
	}
}

// playFull: so many users come that a node has no descriptor left for another connection.
func playFull(lb *Lab) (bool, error) {
	var err error
	if lb.store, err = startStore(); err != nil {
		return false, cantRun("%v", err)
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur < 2*descriptor {
		return false, cantRun("the clients need %d descriptors, they may have %d", 2*descriptor, limit.Cur)
	}
	lb.descriptors = descriptor
	lb.runs.brief = true
	lb.store.Write("config", "main", config(7, []route{{"r-confirm", host, "/confirm/", "non_idempotent", "orders", 1500, 1000, 1}}, "orders"))
	for i := range 2 {
		_, tg, err := lb.addMachine(fmt.Sprintf("sidecar-khewra-%d", i+1), "khewra", "orders", 40)
		if err != nil {
			return false, cantRun("%v", err)
		}
		tg.Work = 5 * time.Millisecond
	}
	if err := lb.awaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	first := lb.nodes[0]
	began := time.Now()
	burstAt := began.Add(14 * time.Second)
	end := burstAt.Add(burstFor + 8*time.Second)
	var as arrivals
	var group sync.WaitGroup
	var mu sync.Mutex
	usualServed, usualSent := 0, 0
	// The usual users: most keep their connections, and ten in a second open new ones.
	for range users {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(rand.Int64N(int64(userEvery))))
			served, sent := lb.visit(first, &as, end, userEvery)
			mu.Lock()
			defer mu.Unlock()
			usualServed, usualSent = usualServed+served, usualSent+sent
		}()
	}
	group.Add(1)
	go func() {
		defer group.Done()
		for time.Now().Before(end) {
			group.Add(1)
			go func() {
				defer group.Done()
				lb.visit(first, &as, time.Now(), 0)
			}()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	type answerOfReady struct {
		at time.Time
		ok bool
	}
	var ready []answerOfReady
	group.Add(1)
	go func() {
		defer group.Done()
		for time.Now().Before(end) {
			asked := time.Now()
			ready = append(ready, answerOfReady{asked, first.IsReady()})
			time.Sleep(250 * time.Millisecond)
		}
	}()
	time.Sleep(time.Until(burstAt))
	lb.rec.Line("burst", "trouble", lb.trouble, "usual-users", users, "times", burstTimes, "for-s", burstFor.Seconds())
	if lb.trouble {
		for range int(users * (burstTimes - 1)) {
			group.Add(1)
			go func() {
				defer group.Done()
				time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
				lb.visit(first, &as, burstAt.Add(burstFor), userEvery)
			}()
		}
	}
	group.Wait()
	as.mu.Lock()
	defer as.mu.Unlock()
	sort.Slice(as.all, func(i, j int) bool { return as.all[i].opened.Before(as.all[j].opened) })
	var takes []time.Time
	for _, ar := range as.all {
		if !ar.taken.IsZero() {
			takes = append(takes, ar.taken)
		}
		lb.rec.Line("client", "opened", fmt.Sprintf("%.3f", ar.opened.Sub(began).Seconds()), "answered", !ar.taken.IsZero(), "after-ms", max(0, ar.taken.Sub(ar.opened).Milliseconds()))
	}
	sort.Slice(takes, func(i, j int) bool { return takes[i].Before(takes[j]) })
	broken := false
	for i := 1; i < len(takes); i++ {
		from, to := takes[i-1], takes[i]
		if to.Sub(from) < stability {
			continue
		}
		tried, unready := 0, 0
		for _, ar := range as.all {
			if ar.opened.After(from) && ar.opened.Before(from.Add(stability)) {
				tried++
			}
		}
		for _, an := range ready {
			if an.at.After(from) && an.at.Before(to) && !an.ok {
				unready++
			}
		}
		lb.rec.Line("gap", "from", fmt.Sprintf("%.3f", from.Sub(began).Seconds()), "s", fmt.Sprintf("%.3f", to.Sub(from).Seconds()), "clients-that-tried-in-3-s", tried, "not-ready", unready)
		fmt.Printf("for %.1f s no new connection was taken; %d clients tried in the first 3 s of it; %d answers that the node is not ready\n", to.Sub(from).Seconds(), tried, unready)
		if tried >= 7 && unready == 0 {
			broken = true
		}
	}
	answered := 0
	for _, ar := range as.all {
		if !ar.taken.IsZero() {
			answered++
		}
	}
	lb.rec.Line("judged", "rule", "RECOVER", "connections", len(as.all), "answered", answered, "requests-of-usual-users", usualSent, "served", usualServed)
	fmt.Printf("connections %d, answered %d; requests of the usual users that keep their connections %d, served %d\n", len(as.all), answered, usualSent, usualServed)
	return !broken, nil
}
