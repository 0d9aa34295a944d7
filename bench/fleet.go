package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	readyLimit   = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	callLimit    = 5 * time.Second
)

// Variant is a named way of running the nodes.
type Variant struct {
	Name  string
	Flags []string
}

// The variants that experiments compare.
var (
	Product        = Variant{Name: "product"}
	NoAdmission    = Variant{Name: "no admission", Flags: []string{"--queue=none", "--balance=round-robin", "--no-hedge"}}
	FIFORoundRobin = Variant{Name: "fifo, round robin", Flags: []string{"--queue=fifo", "--balance=round-robin", "--no-hedge"}}
	NoHedge        = Variant{Name: "round robin, no hedge", Flags: []string{"--balance=round-robin", "--no-hedge"}}
	EveryWatches   = Variant{Name: "every node watches", Flags: []string{"--spread=watch"}}
)

// Instance is one node of a fleet with the address of its upstream.
type Instance struct {
	Name     string
	Service  string
	Place    Place
	Caller   string
	Peer     string
	Admin    string
	Upstream string
	// Link is the address of the network in front of the peer listener.
	Link    string
	process *Process
}

// Fleet is a running layout.
type Fleet struct {
	Layout    Layout
	Variant   Variant
	Instances []*Instance
	platform  *Process
	group     *Process
	links     *Process
	address   string
	control   string
	version   uint64
	http      *http.Client
	ports     *ports
	rand      *rand.Rand
}

// StartFleet starts the processes of a layout and waits until every node
// serves the configuration and knows every upstream.
func StartFleet(ctx context.Context, layout Layout, variant Variant) (*Fleet, error) {
	ft := &Fleet{
		Layout:  layout,
		Variant: variant,
		http:    &http.Client{Transport: &http.Transport{}, Timeout: callLimit},
		ports:   newPorts(),
		rand:    rand.New(rand.NewPCG(1, 1)),
	}
	if err := ft.start(ctx); err != nil {
		ft.Stop()
		return nil, errors.WithMessagef(err, "start the layout %s (%s)", layout.Name, variant.Name)
	}
	return ft, nil
}

func (ft *Fleet) start(ctx context.Context) error {
	if err := ft.place(); err != nil {
		return err
	}
	var err error
	if ft.platform, err = startProcess(ft.address+"\n", verbPlatform); err != nil {
		return err
	}
	if err := ft.startUpstreams(); err != nil {
		return err
	}
	if err := ft.startLinks(); err != nil {
		return err
	}
	for _, instance := range ft.Instances {
		if err := ft.startNode(instance); err != nil {
			return err
		}
	}
	if err := ft.awaitApply(ctx); err != nil {
		return err
	}
	return ft.AwaitReady(ctx)
}

// place gives every node its zone and addresses.
func (ft *Fleet) place() error {
	if err := ft.ports.takeAll(&ft.address, &ft.control); err != nil {
		return err
	}
	for _, group := range ft.Layout.Groups {
		for range group.Upstreams {
			number := len(ft.Instances)
			instance := &Instance{
				Name:    fmt.Sprintf("n%d", number),
				Service: string(group.Service),
				Place:   ft.Layout.Places[number%len(ft.Layout.Places)],
			}
			addresses := []*string{&instance.Caller, &instance.Peer, &instance.Admin, &instance.Upstream}
			if ft.Layout.Latency > 0 {
				addresses = append(addresses, &instance.Link)
			}
			err := ft.ports.takeAll(addresses...)
			if err != nil {
				return err
			}
			ft.Instances = append(ft.Instances, instance)
		}
	}
	return nil
}

func (ft *Fleet) startUpstreams() error {
	spec := groupSpec{Control: ft.control}
	for _, instance := range ft.Instances {
		spec.Upstreams = append(spec.Upstreams, upstreamSpec{
			Service:     instance.Service,
			Address:     instance.Upstream,
			Admin:       instance.Admin,
			Slots:       ft.Layout.Slots,
			Connections: ft.Layout.Connections,
		})
	}
	text, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	ft.group, err = startProcess(string(text), verbUpstreams)
	return err
}

// startNode starts the process of a node with two peers to join by.
func (ft *Fleet) startNode(instance *Instance) error {
	args := []string{
		verbNode, "node",
		"--instance", instance.Name,
		"--zone", string(instance.Place.Zone),
		"--region", string(instance.Place.Region),
		"--platform", "http://" + ft.address,
		"--listen", instance.Caller,
		"--peer-listen", instance.Peer,
		"--admin-listen", instance.Admin,
		"--advertise", instance.PeerAddress(),
		"--plain-text", "callers,peers,operators",
		"--stop-limit", "5s",
	}
	for range 2 {
		args = append(args, "--peer", ft.anyInstance().PeerAddress())
	}
	var err error
	instance.process, err = startProcess("", append(args, ft.Variant.Flags...)...)
	return err
}

func (ft *Fleet) awaitApply(ctx context.Context) error {
	return await(ctx, "the first configuration", func() error {
		_, err := ft.applyAll(ctx)
		return err
	})
}

// AwaitReady waits until every node has the configuration and knows every
// other node as alive with its upstream.
func (ft *Fleet) AwaitReady(ctx context.Context) error {
	for _, instance := range ft.Instances {
		err := await(ctx, instance.Name, func() error { return ft.checkReady(ctx, instance) })
		if err != nil {
			return errors.WithMessage(err, instance.process.log.String())
		}
	}
	return nil
}

func (ft *Fleet) checkReady(ctx context.Context, instance *Instance) error {
	if !instance.process.alive() {
		return errors.Errorf("the process of %s has ended", instance.Name)
	}
	status, err := ft.status(ctx, instance)
	if err != nil {
		return err
	}
	taking := 0
	for _, member := range status.GetNodes() {
		if member.GetUpstream() && member.GetState() == "alive" {
			taking++
		}
	}
	if status.GetVersion() < ft.version || taking < len(ft.Instances) {
		return errors.Errorf("%s holds version %d of %d and knows %d of %d upstreams",
			instance.Name, status.GetVersion(), ft.version, taking, len(ft.Instances))
	}
	return nil
}

// await repeats a check until it passes.
func await(ctx context.Context, what string, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return errors.WithMessagef(err, "wait for %s", what)
		}
	}
}

// sleep waits and reports whether the context still runs.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Stop ends all processes of the fleet, by their ids.
func (ft *Fleet) Stop() {
	processes := []*Process{ft.links, ft.group, ft.platform}
	for _, instance := range ft.Instances {
		processes = append(processes, instance.process)
	}
	for _, process := range processes {
		if process != nil {
			process.kill()
		}
	}
}

// Herd kills every node at once and starts all again.
func (ft *Fleet) Herd() error {
	for _, instance := range ft.Instances {
		_ = instance.process.cmd.Process.Kill()
	}
	for _, instance := range ft.Instances {
		<-instance.process.done
		if err := ft.startNode(instance); err != nil {
			return err
		}
	}
	return nil
}

// callers returns the addresses that callers use.
func (ft *Fleet) callers() []string {
	addresses := make([]string, 0, len(ft.Instances))
	for _, instance := range ft.Instances {
		addresses = append(addresses, instance.Caller)
	}
	return addresses
}

// deadNodes names the nodes whose process has ended.
func (ft *Fleet) deadNodes() string {
	var names []string
	for _, instance := range ft.Instances {
		if !instance.process.alive() {
			names = append(names, instance.Name)
		}
	}
	return strings.Join(names, " ")
}
