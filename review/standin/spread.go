package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	versionCount = 14
	versionGap   = 3600 * time.Millisecond
	// applyTime is the time after its acknowledgement at which a version is in force, and
	// touchTime how long a machine must have been undisturbed to be judged.
	applyTime = 2500 * time.Millisecond
	touchTime = 3 * time.Second
	// farRoutes is how many routes each version has that no client asks for.
	farRoutes = 2500
)

// disturbance is what strikes nodes right before a version is written, and right after it
// was acknowledged.
type disturbance struct{ before, after func(pl *versionPlay) }

var disturbances = map[string]disturbance{
	"":        {},
	"pause":   {after: (*versionPlay).pauseSome},
	"readers": {before: (*versionPlay).killReaders},
	"herd":    {before: (*versionPlay).killMost},
}

// spread is no case of the review: docs/incidents/2026-12-05-config-processes.md has its
// results.
func init() { cases["spread"] = spreadCase }

// versionPlay writes versions while nodes are disturbed. What the store lets be stale is
// four seconds old.
type versionPlay struct {
	lab  *lab
	rand *rand.Rand

	mu sync.Mutex
	// calm is from when a machine is undisturbed.
	calm   map[*machine]time.Time
	broken []string
	judged int
}

// spreadCase plays one disturbance, which DISTURB names, with the seed SEED.
func spreadCase(rc *recorder, trouble bool) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	disturb, ok := disturbances[os.Getenv("DISTURB")]
	if !ok {
		return nil, fmt.Errorf("DISTURB is none of pause, readers and herd")
	}
	if !trouble {
		disturb = disturbance{}
	}
	var places []place
	for i := range 12 {
		places = append(places, place{[]string{"a", "b", "c"}[i%3], versionServices[i/3%2], 100})
	}
	lb, err := newLab(rc, trouble, versionConfig(0), places...)
	defer lb.close()
	if err != nil {
		return nil, err
	}
	letBeStale(lb, 4*time.Second)
	time.Sleep(staleStep)
	pl := &versionPlay{lab: lb, rand: rand.New(rand.NewPCG(seed, seed)), calm: map[*machine]time.Time{}}
	for number := 1; number <= versionCount; number++ {
		if disturb.before != nil {
			disturb.before(pl)
		}
		acked := lb.store.put("config", "main", versionConfig(number))
		rc.note("version %d is acknowledged", number)
		if disturb.after != nil {
			disturb.after(pl)
		}
		time.Sleep(time.Until(acked.Add(applyTime)))
		pl.judge(number, acked.Add(versionGap))
	}
	fmt.Printf("judged %d, broken %d\n", pl.judged, len(pl.broken))
	return pl.broken, nil
}

var versionServices = []string{"orderdesk", "picklist"}

// versionConfig returns a version that moves one route and has one more than before.
func versionConfig(number int) config {
	route := func(name, path, service string) []any {
		return []any{name, "status.example", path, "idempotent", 1000, 400, 1, service, 2, true, nil}
	}
	rows := [][]any{route("r-status", "/status/", versionServices[number%2])}
	for k := range number {
		rows = append(rows, route(fmt.Sprintf("r-v%d", k+1), fmt.Sprintf("/v%d/", k+1), versionServices[0]))
	}
	for k := range farRoutes {
		rows = append(rows, route(fmt.Sprintf("r-f%d", k), fmt.Sprintf("/f%d/", k), versionServices[0]))
	}
	return newConfig(uint32(5+3*number), versionServices, rows...)
}

// judge asks each machine for what the latest version says, until the given time.
func (pl *versionPlay) judge(number int, until time.Time) {
	var wg sync.WaitGroup
	for _, mc := range pl.lab.machines {
		wg.Go(func() {
			for time.Now().Before(until) {
				if pl.inTouch(mc) {
					pl.ask(mc, number)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

func (pl *versionPlay) inTouch(mc *machine) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return time.Since(pl.calm[mc]) >= touchTime
}

func (pl *versionPlay) ask(mc *machine, number int) {
	added := pl.lab.send(mc, call{method: "GET", host: "status.example", path: fmt.Sprintf("/v%d/5/100", number), deadline: time.Second})
	moved := pl.lab.send(mc, call{method: "GET", host: "status.example", path: "/status/5/100", deadline: time.Second})
	var broken []string
	if added.status == 404 {
		broken = append(broken, fmt.Sprintf("CONFIG: %s by %s on the route of version %d: 404", added.id, mc.name, number))
	}
	for _, rn := range pl.lab.runsOf(moved.id) {
		if rn.service != versionServices[number%2] {
			broken = append(broken, fmt.Sprintf("CONFIG: %s by %s run by the service of an older version than %d", moved.id, mc.name, number))
		}
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.judged += 2
	pl.broken = append(pl.broken, broken...)
}

// disturb runs what is done to a machine, which counts as disturbed until that has ended.
func (pl *versionPlay) disturb(mc *machine, what func()) {
	far := time.Now().Add(time.Hour)
	pl.mu.Lock()
	pl.calm[mc] = far
	pl.mu.Unlock()
	go func() {
		what()
		pl.mu.Lock()
		pl.calm[mc] = time.Now()
		pl.mu.Unlock()
	}()
}

func (pl *versionPlay) some(count int) []*machine {
	var chosen []*machine
	for _, i := range pl.rand.Perm(len(pl.lab.machines))[:count] {
		chosen = append(chosen, pl.lab.machines[i])
	}
	return chosen
}

// pauseSome pauses four machines for three seconds each, one after the other, while the
// others fetch the version.
func (pl *versionPlay) pauseSome() {
	for _, mc := range pl.some(4) {
		time.Sleep(time.Duration(pl.rand.IntN(350)) * time.Millisecond)
		pl.disturb(mc, func() {
			mc.signal(syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			mc.signal(syscall.SIGCONT)
		})
	}
}

func (pl *versionPlay) restart(mc *machine, after time.Duration) {
	pl.disturb(mc, func() {
		mc.signal(syscall.SIGKILL)
		mc.await(touchTime)
		time.Sleep(after)
		_ = mc.start(false)
	})
}

// readers are the machines whose nodes read the store for their zone.
func (pl *versionPlay) readers() []*machine {
	var reading []*machine
	for _, mc := range pl.lab.machines {
		text, _ := os.ReadFile(filepath.Join(pl.lab.folder, mc.name+".log"))
		log := string(text)
		began := strings.LastIndex(log, "event=polling-changed subject="+mc.name+" detail=began")
		ended := max(strings.LastIndex(log, "event=polling-changed subject="+mc.name+" detail=ended"), strings.LastIndex(log, "event=node-started"))
		if began > ended {
			reading = append(reading, mc)
		}
	}
	return reading
}

// killReaders kills the nodes that read the store. They start again and read it once
// before the next version is written.
func (pl *versionPlay) killReaders() { pl.kill(pl.readers()) }

// killMost does the same to eight nodes, the readers among them.
func (pl *versionPlay) killMost() {
	chosen := pl.readers()
	for _, mc := range pl.some(len(pl.lab.machines)) {
		if len(chosen) < 8 && !slices.Contains(chosen, mc) {
			chosen = append(chosen, mc)
		}
	}
	pl.kill(chosen)
}

func (pl *versionPlay) kill(machines []*machine) {
	for _, mc := range machines {
		pl.restart(mc, time.Duration(pl.rand.IntN(200))*time.Millisecond)
	}
	time.Sleep(time.Second)
}
