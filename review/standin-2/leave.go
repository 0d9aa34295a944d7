package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leave"] = leave }

// sendAndLeave sends a request that can't be repeated on a connection of its own. If stays is
// above 0, the client leaves after that time: it ends its side of the connection and reads
// what still comes until the node ends the other.
func sendAndLeave(node, host, path string, stays time.Duration) (id string, status int, signed bool, body string, took time.Duration) {
	id = newID()
	conn, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		return id, 0, false, err.Error(), 0
	}
	defer func() { _ = conn.Close() }()
	start := time.Now()
	_ = conn.SetDeadline(start.Add(3 * time.Second))
	text := "amount=120"
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", path, host, id, len(text), text)
	if stays > 0 {
		time.AfterFunc(stays, func() { _ = conn.(*net.TCPConn).CloseWrite() })
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return id, 0, false, err.Error(), time.Since(start)
	}
	read, _ := io.ReadAll(response.Body)
	return id, response.StatusCode, response.Header.Get("Response-Signature") == signature(id, read), string(read), time.Since(start)
}

// leave: some clients leave before their deadline, while their request runs.
func leave(folder string) int {
	st, ru := newStore(), newRuns()
	first := newTarget("i-first", "intake", 9, 600*time.Millisecond, ru)
	second := newTarget("i-second", "intake", 9, 600*time.Millisecond, ru)
	st.put("config", "main", config(1, []route{{"r-fee", "fees.example", "/fee/", "non_idempotent", 2500, 1500, "intake", 2}}))
	one := newNode(folder, "sidecar-kolkata-1", "kolkata", "intake", st.address, first.address, 284)
	two := newNode(folder, "sidecar-howrah-1", "howrah", "intake", st.address, second.address, 284)
	first.beatAt(one.listen)
	second.beatAt(two.listen)
	if !awaitReady(one, two) {
		note("the nodes were not ready")
		return unable
	}
	time.Sleep(4 * time.Second)
	note("traffic begins")
	var mu sync.Mutex
	statuses, mixed, sent := map[int]int{}, 0, 0
	var group sync.WaitGroup
	for i := range 10 {
		group.Add(1)
		go func() {
			defer group.Done()
			node := one
			if i%2 == 1 {
				node = two
			}
			for turn := range 6 {
				stays := time.Duration(0)
				if disturbed && i < 2 && turn > 0 {
					stays = 250 * time.Millisecond
				}
				id, status, signed, body, took := sendAndLeave(node.outbound, "fees.example", "/fee/pay", stays)
				mu.Lock()
				sent++
				statuses[status]++
				if status/100 == 2 && !signed {
					mixed++
				}
				note("request %s, left after %s: status %d, signed %t, body %q, %s; runs at targets %d", id, stays, status, signed, body, took.Round(time.Millisecond), ru.of(id))
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	note("%d requests, by status %v; successes without the target's signature: %d, allowed 0", sent, statuses, mixed)
	if mixed > 0 {
		return broken
	}
	return held
}
