package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/api/opsv1/opsv1connect"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/node"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

const (
	crashPath = "/status/ends"
	crashBody = "ends"
	// otherCrashBody is the body of another request that ends upstreams.
	otherCrashBody = "ends too"
	// stability is the time within which all nodes know of a request that has ended
	// maxEnded upstreams. Later than that, at most maxLateRuns runs of it may begin.
	stability   = 3 * time.Second
	maxEnded    = 3
	maxLateRuns = 3
	fleetWait   = 20 * time.Second
	callLimit   = 2 * time.Second
	stopLinger  = 600 * time.Millisecond
	stopLimit   = 1500 * time.Millisecond
)

// crashFleet is a fleet of nodes, each with a fakes.CrashingUpstream.
type crashFleet struct {
	t         *testing.T
	ctx       context.Context
	store     *plat.Store
	nodes     []*node.Node
	upstreams []*fakes.CrashingUpstream
	log       fakes.CrashLog
	client    *http.Client
	tried     atomic.Uint64
	running   sync.WaitGroup
	endsAfter time.Duration
	downFor   time.Duration
	// ran holds the paths of all requests that an upstream has run.
	ran sync.Map
	// leave stops a node gracefully, by its number.
	leave []context.CancelFunc
	// stop stops all nodes and waits until they have ended.
	stop func()
}

func newCrashFleet(t *testing.T, size int, endsAfter, downFor time.Duration) *crashFleet {
	t.Helper()
	fl := startCrashFleet(t, size, endsAfter, downFor, plat.NewMemory().Store())
	fl.publish()
	fl.waitReady(size)
	return fl
}

// startCrashFleet starts the nodes of a fleet whose configuration is not known yet to be
// in force.
func startCrashFleet(t *testing.T, size int, endsAfter, downFor time.Duration, store *plat.Store) *crashFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	fl := &crashFleet{t: t, ctx: ctx, store: store, client: &http.Client{Timeout: 2 * callLimit}, endsAfter: endsAfter, downFor: downFor}
	fl.stop = func() { cancel(); fl.running.Wait() }
	t.Cleanup(fl.stop)
	for range size {
		fl.join()
	}
	return fl
}

// join starts one more node with an upstream.
func (fl *crashFleet) join() {
	fl.t.Helper()
	const anyPort = "127.0.0.1:0"
	number := len(fl.nodes)
	zones := []types.Zone{"kolkata", "howrah", "haldia"}
	nd, err := node.New(node.Settings{
		Instance: types.InstanceID(fmt.Sprintf("i%d", number)), Zone: zones[number%len(zones)], Region: "bengal-west",
		Listen: anyPort, PeerListen: anyPort, AdminListen: anyPort, MaxBody: 1 << 20, StopLinger: stopLinger, StopLimit: stopLimit, Seed: uint64(number),
		KeyLimits: flow.KeyLimits{Margin: 100 * time.Millisecond, Retention: time.Minute}, Policies: core.DefaultPolicies(), PlainText: node.AllPlainText(),
	}, fl.store)
	if err != nil {
		fl.t.Fatal(err)
	}
	fl.nodes = append(fl.nodes, nd)
	upstream := &fakes.CrashingUpstream{
		Path: crashPath, Bodies: []string{crashBody, otherCrashBody}, Work: 50 * time.Millisecond, SlowWork: time.Second, EndsAfter: fl.endsAfter, DownFor: fl.downFor, Log: &fl.log,
		OnRun: func(path string) { fl.ran.Store(path, true) },
	}
	address, err := upstream.Start()
	if err != nil {
		fl.t.Fatal(err)
	}
	fl.upstreams = append(fl.upstreams, upstream)
	fl.t.Cleanup(upstream.Close)
	ctx, leave := context.WithCancel(fl.ctx)
	fl.leave = append(fl.leave, leave)
	fl.running.Go(func() { _ = nd.Run(ctx) })
	fl.running.Go(func() { fl.announce(nd, upstream, address) })
}

// announce announces an upstream to its node while the upstream takes connections.
func (fl *crashFleet) announce(nd *node.Node, upstream *fakes.CrashingUpstream, address string) {
	for fl.ctx.Err() == nil {
		if upstream.Up() {
			nd.Announce(core.Announcement{Address: types.Address(address), Service: "job-status", Slots: 10, Connections: 130})
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (fl *crashFleet) operator() opsv1connect.OperatorClient {
	return opsv1connect.NewOperatorClient(fl.client, "http://"+string(fl.nodes[0].AdminAddress()))
}

func (fl *crashFleet) publish() {
	fl.t.Helper()
	config := conf.Config{
		Services: []conf.Service{{Name: "job-status"}},
		Routes: []conf.Route{{
			Name: "job-status", Service: "job-status", Match: conf.Match{PathPrefix: "/status"}, Idempotent: true, Importance: conf.Critical, Deadline: callLimit,
		}},
	}
	request := &opsv1.ApplyRequest{ChangeId: "crash", Config: codec.ConfigToProto(config), Replace: true}
	if _, err := fl.operator().Apply(fl.ctx, connect.NewRequest(request)); err != nil {
		fl.t.Fatal(err)
	}
}

// waitReady waits until all nodes are ready and know that all upstreams take work.
func (fl *crashFleet) waitReady(size int) {
	fl.t.Helper()
	for deadline := time.Now().Add(fleetWait); !fl.ready(size); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			fl.t.Fatalf("%d nodes are not ready after %s", size, fleetWait)
		}
	}
}

func (fl *crashFleet) ready(size int) bool {
	for _, nd := range fl.nodes {
		client := opsv1connect.NewOperatorClient(fl.client, "http://"+string(nd.AdminAddress()))
		status, err := client.Status(fl.ctx, connect.NewRequest(&opsv1.StatusRequest{}))
		if err != nil || !nd.Ready() {
			return false
		}
		owners := 0
		for _, member := range status.Msg.GetNodes() {
			if member.GetUpstream() {
				owners++
			}
		}
		if owners < size {
			return false
		}
	}
	return true
}

// reply is what a caller got.
type reply struct {
	status                 int
	kind, outcome, comesIn string
}

// call sends a request to the next node in turn.
func (fl *crashFleet) call(path, body string) reply {
	nd := fl.nodes[int(fl.tried.Add(1))%len(fl.nodes)]
	return fl.callNode(nd, path, body)
}

func (fl *crashFleet) callNode(nd *node.Node, path, body string, header ...string) reply {
	request, err := http.NewRequestWithContext(fl.ctx, http.MethodPost, "http://"+string(nd.CallerAddress())+path, strings.NewReader(body))
	if err != nil {
		return reply{}
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := fl.client.Do(request)
	if err != nil {
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return reply{
		status: response.StatusCode, kind: response.Header.Get("Sequoiamill-Error-Kind"),
		outcome: response.Header.Get("Sequoiamill-Outcome"), comesIn: response.Header.Get("Retry-After"),
	}
}

// repeat calls send at each interval, without waiting for its end, until the time is
// over. It returns a function that waits for the calls that have begun.
func repeat(interval, length time.Duration, send func()) (wait func()) {
	var calls sync.WaitGroup
	calls.Go(func() {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
			calls.Go(send)
		}
	})
	return calls.Wait
}

// TestRequestThatEndsItsUpstreamsReachesFewOfThem guards against a request that ends
// each upstream which runs it and is sent to one after the other (BUDGET).
func TestRequestThatEndsItsUpstreamsReachesFewOfThem(t *testing.T) {
	check := is.New(t)
	fl := newCrashFleet(t, 9, 50*time.Millisecond, 2*time.Second)
	lateUnserved := fl.sendBesideOthers(150 * time.Millisecond)
	late := fl.log.RunsAfter(maxEnded, stability)
	check.True(len(fl.log.Ends()) >= maxEnded) // the request ends upstreams
	check.True(late <= maxLateRuns)            // it reaches few of them later
	check.Equal(lateUnserved, nil)             // what ran beside it is served
	fl.checkHeld(check)
	fl.checkRelease(check)
}

// TestRequestThatEndsAllUpstreamsAtOnceReachesFewLater guards against a request that many
// upstreams run at the same time, all of them again when they are back.
func TestRequestThatEndsAllUpstreamsAtOnceReachesFewLater(t *testing.T) {
	check := is.New(t)
	fl := newCrashFleet(t, 9, 600*time.Millisecond, 3*time.Second)
	lateUnserved := fl.sendBesideOthers(20 * time.Millisecond)
	check.True(len(fl.log.Ends()) >= len(fl.nodes)) // the request ends all upstreams
	check.True(fl.log.RunsAfter(maxEnded, stability) <= maxLateRuns)
	check.Equal(lateUnserved, nil)
}

// sendBesideOthers sends the request that ends upstreams at an interval, and others beside
// it. It returns what of the others was held back, or was not served although it was sent
// when the upstreams had to be back.
func (fl *crashFleet) sendBesideOthers(interval time.Duration) []string {
	const length = 10 * time.Second
	began := time.Now()
	var mu sync.Mutex
	var lateUnserved []string
	plain, served := 0, 0
	waits := []func(){repeat(interval, length, func() { fl.call(crashPath, crashBody) })}
	for caller := range 6 {
		waits = append(waits, repeat(60*time.Millisecond, length, func() {
			sent := time.Since(began)
			got := fl.call("/status/plain", fmt.Sprint("plain ", caller))
			mu.Lock()
			defer mu.Unlock()
			plain++
			if got.status == http.StatusOK {
				served++
			} else if got.kind == "held" || sent > stability+fl.downFor+time.Second {
				lateUnserved = append(lateUnserved, fmt.Sprint(sent.Round(time.Millisecond), got))
			}
		}))
	}
	for _, wait := range waits {
		wait()
	}
	fl.t.Logf("%d upstreams ended, %d runs later than %s after the third, %d of %d other requests served",
		len(fl.log.Ends()), fl.log.RunsAfter(maxEnded, stability), stability, served, plain)
	return lateUnserved
}

// checkHeld checks that the request which ends upstreams is refused by every node, also
// by one that joins, and that others on the same path are served.
func (fl *crashFleet) checkHeld(check *is.I) {
	check.Helper()
	fl.join()
	fl.waitReady(len(fl.nodes))
	runs := len(fl.log.Runs())
	for _, nd := range fl.nodes {
		got := fl.callNode(nd, crashPath, crashBody)
		check.Equal(got.kind, "held")
		check.Equal(got.outcome, "not-run")
		check.True(got.comesIn != "")
		check.Equal(fl.callNode(nd, crashPath, "another body").status, http.StatusOK)
		check.Equal(fl.callNode(nd, crashPath, crashBody, "Authorization", "another caller").status, http.StatusOK)
	}
	check.Equal(len(fl.log.Runs()), runs)
}

// checkRelease checks that an operator sees the hold and lifts it at one node for all.
func (fl *crashFleet) checkRelease(check *is.I) {
	check.Helper()
	for text, kind := range map[string]fault.Kind{"x": fault.InvalidInput, "0": fault.NotFound} {
		_, err := fl.operator().Release(fl.ctx, connect.NewRequest(&opsv1.ReleaseRequest{Content: text}))
		check.True(fault.Is(codec.FaultFromRPC(err), kind))
	}
	fl.release(check)
	runs := len(fl.log.Runs())
	for deadline := time.Now().Add(fleetWait); len(fl.log.Runs()) == runs && time.Now().Before(deadline); {
		fl.callNode(fl.nodes[len(fl.nodes)-1], crashPath, crashBody)
	}
	check.True(len(fl.log.Runs()) > runs)
}

// TestRequestsThatRanWhenUpstreamsEndedAreServed guards against holding back a request
// that only ran when upstreams ended for another reason, all of them again and again.
func TestRequestsThatRanWhenUpstreamsEndedAreServed(t *testing.T) {
	check := is.New(t)
	fl := newCrashFleet(t, 3, 50*time.Millisecond, 2*time.Second)
	var held atomic.Int64
	stop := repeat(10*time.Millisecond, 8*time.Second, func() {
		if fl.call("/status/popular", "popular").kind == "held" {
			held.Add(1)
		}
	})
	for range 3 {
		time.Sleep(500 * time.Millisecond)
		for _, upstream := range fl.upstreams {
			upstream.End()
		}
		time.Sleep(fl.downFor)
	}
	stop()
	check.Equal(len(fl.log.Ends()), 9)
	check.Equal(held.Load(), int64(0)) // no request was held back
	fl.waitReady(len(fl.nodes))
	check.Equal(fl.call("/status/popular", "popular").status, http.StatusOK)
}

// TestHoldOutlivesARestartOfAllNodes guards against a request that ends upstreams anew
// after all nodes were killed at once, as only they know of it.
func TestHoldOutlivesARestartOfAllNodes(t *testing.T) {
	check := is.New(t)
	const size = 3
	fl := newCrashFleet(t, size, 50*time.Millisecond, 2*time.Second)
	wait := repeat(150*time.Millisecond, 5*time.Second, func() { fl.call(crashPath, crashBody) })
	wait()
	check.Equal(len(fl.holds(check, 0)), 1)
	records := fl.awaitCrashRecords(size)
	fl.stop()
	for _, record := range records { // a node that is killed leaves its record
		left, _ := fl.store.Get(context.Background(), record.Name)
		record.Revision = left.Revision
		_, err := fl.store.Put(context.Background(), record)
		check.NoErr(err)
	}
	restarted := startCrashFleet(t, size, fl.endsAfter, fl.downFor, fl.store)
	restarted.waitReady(size)
	for node := range restarted.nodes {
		for deadline := time.Now().Add(fleetWait); len(restarted.holds(check, node)) == 0 && time.Now().Before(deadline); {
			time.Sleep(50 * time.Millisecond)
		}
		check.Equal(restarted.callNode(restarted.nodes[node], crashPath, crashBody).kind, "held")
	}
	check.Equal(len(restarted.log.Runs()), 0)
	restarted.release(check)
	restarted.awaitCrashRecords(0)
}

// release lifts the only hold.
func (fl *crashFleet) release(check *is.I) {
	check.Helper()
	holds := fl.holds(check, 0)
	check.Equal(len(holds), 1)
	_, err := fl.operator().Release(fl.ctx, connect.NewRequest(&opsv1.ReleaseRequest{Content: holds[0].GetContent()}))
	check.NoErr(err)
}

func (fl *crashFleet) holds(check *is.I, node int) []*opsv1.Hold {
	check.Helper()
	client := opsv1connect.NewOperatorClient(fl.client, "http://"+string(fl.nodes[node].AdminAddress()))
	holds, err := client.Holds(fl.ctx, connect.NewRequest(&opsv1.HoldsRequest{}))
	check.NoErr(err)
	return holds.Msg.GetHolds()
}

// awaitCrashRecords waits until the records of count nodes hold crashes, and returns all
// records.
func (fl *crashFleet) awaitCrashRecords(count int) []plat.Object {
	fl.t.Helper()
	for deadline := time.Now().Add(fleetWait); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		objects, err := fl.store.List(fl.ctx, plat.RecordKind)
		with := 0
		for _, object := range objects {
			if strings.Contains(string(object.Body), `"crashes"`) {
				with++
			}
		}
		if err == nil && with == count {
			return objects
		}
	}
	fl.t.Fatalf("the records of %d nodes do not hold crashes", count)
	return nil
}

// TestTwoRequestsThatEndUpstreamsAreBothHeld checks that a request which ends upstreams does
// not hide another one.
func TestTwoRequestsThatEndUpstreamsAreBothHeld(t *testing.T) {
	check := is.New(t)
	fl := newCrashFleet(t, 9, 50*time.Millisecond, 2*time.Second)
	wait := repeat(150*time.Millisecond, 6*time.Second, func() {
		fl.call(crashPath, crashBody)
		fl.call(crashPath, otherCrashBody)
	})
	wait()
	check.Equal(len(fl.holds(check, 0)), 2)
}

// TestSlowRequestBesideOneThatEndsUpstreamsIsServed guards against holding back a request
// that runs so long that it is lost with upstreams again and again.
func TestSlowRequestBesideOneThatEndsUpstreamsIsServed(t *testing.T) {
	check := is.New(t)
	fl := newCrashFleet(t, 9, 50*time.Millisecond, 2*time.Second)
	var held, unserved atomic.Int64
	began := time.Now()
	waitEnds := repeat(150*time.Millisecond, 8*time.Second, func() { fl.call(crashPath, crashBody) })
	waitSlow := repeat(100*time.Millisecond, 8*time.Second, func() {
		sent := time.Since(began)
		got := fl.call("/status/slow", "slow")
		if got.kind == "held" {
			held.Add(1)
		}
		if got.status != http.StatusOK && sent > stability+fl.downFor {
			unserved.Add(1)
		}
	})
	waitEnds()
	waitSlow()
	check.Equal(held.Load(), int64(0))
	check.Equal(unserved.Load(), int64(0))
}
