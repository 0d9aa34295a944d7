package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// oddEntries are entries of another writer among the records of nodes.
var oddEntries = map[string]string{
	"deep":     `{"Metadata":{"Name":"a-odd","Revision":7},"Spec":` + strings.Repeat(`{"a":[`, 20000) + strings.Repeat(`]}`, 20000) + `}`,
	"number":   `{"Metadata":{"Name":"a-odd","Revision":99999999999999999999999999},"Spec":{"instance":"odd"}}`,
	"spec":     `{"Metadata":{"Name":"a-odd","Revision":7},"Spec":{"instance":"odd","departure":{"sequence":1e999},"crashes":[{"at":99999999999999999999}]}}`,
	"port":     `{"Metadata":{"Name":"a-odd","Revision":7},"Spec":{"instance":"odd","address":"127.0.0.1:99999","zone":"a"}}`,
	"type":     `{"Metadata":["a-odd"],"Spec":"odd","Status":7}`,
	"metadata": `"odd"`,
}

func init() { cases["odd"] = oddCase }

// oddStore adds one entry to the lists of node records and to the events of all watches.
type oddStore struct {
	*store
	entry string
}

// ServeHTTP implements http.Handler.
func (od *oddStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	records := strings.HasSuffix(request.URL.Path, "/objects/noderecords")
	watch := request.URL.Query().Has("Watch")
	if request.Method != http.MethodGet || !records && !watch {
		od.store.ServeHTTP(writer, request)
		return
	}
	answer := httptest.NewRecorder()
	od.store.ServeHTTP(answer, request)
	body := addFirst(answer.Body.Bytes(), `"items":[`, od.entry)
	body = addFirst(body, `"events":[`, `{"Deleted":false,"Object":`+od.entry+`}`)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(answer.Code)
	_, _ = writer.Write(body)
}

func addFirst(body []byte, at, entry string) []byte {
	body = bytes.Replace(body, []byte(strings.TrimSuffix(at, "[")+"null"), []byte(at+"]"), 1)
	body = bytes.Replace(body, []byte(at), []byte(at+entry+","), 1)
	return bytes.Replace(body, []byte(entry+",]"), []byte(entry+"]"), 1)
}

// oddCase starts four nodes of two services beside the entry that ODD names. One is killed
// and started, then all, and a new version comes.
func oddCase(rc *recorder, trouble bool) ([]string, error) {
	entry, ok := oddEntries[os.Getenv("ODD")]
	if !ok {
		return nil, fmt.Errorf("ODD names no entry")
	}
	lb, err := newLab(rc, trouble, versionConfig(1),
		place{"a", versionServices[0], 100}, place{"b", versionServices[0], 100}, place{"a", versionServices[1], 100}, place{"b", versionServices[1], 100})
	defer lb.close()
	if err != nil {
		return nil, err
	}
	if trouble {
		lb.store.server.Handler = &oddStore{store: lb.store, entry: entry}
	}
	var broken []string
	restart := func(machines []*machine) {
		var wg sync.WaitGroup
		for _, mc := range machines {
			wg.Go(func() {
				mc.signal(syscall.SIGKILL)
				mc.await(3 * time.Second)
				_ = mc.start(false)
			})
		}
		wg.Wait()
		time.Sleep(10 * time.Second)
	}
	for step, machines := range [][]*machine{lb.machines[:1], lb.machines, nil} {
		restart(machines)
		number := step + 2
		lb.store.put("config", "main", versionConfig(number))
		rc.note("version %d is acknowledged", number)
		time.Sleep(applyTime)
		broken = append(broken, askAll(lb, number)...)
	}
	for _, mc := range lb.machines {
		if want := map[bool]int{true: 3, false: 2}[mc == lb.machines[0]]; mc.started != want {
			broken = append(broken, fmt.Sprintf("%s was started %d times, not %d: it ended by itself", mc.name, mc.started, want))
		}
	}
	return broken, nil
}

// askAll asks each machine for both services and for the route that the version added.
func askAll(lb *lab, number int) []string {
	var broken []string
	for _, mc := range lb.machines {
		for _, path := range []string{"/status/5/100", "/v1/5/100", fmt.Sprintf("/v%d/5/100", number)} {
			if at := lb.send(mc, call{method: "GET", host: "status.example", path: path, deadline: time.Second}); at.status != 200 {
				broken = append(broken, fmt.Sprintf("version %d: %s by %s on %s: %s", number, at.id, mc.name, path, at.describe()))
			}
		}
	}
	return broken
}
