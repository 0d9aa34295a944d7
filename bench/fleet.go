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
	readyTimeout   = 60 * time.Second
	pollInterval   = 50 * time.Millisecond
	requestTimeout = 5 * time.Second
)

// Variant is a named set of command-line flags for the nodes.
type Variant struct {
	Name  string
	Flags []string
}

// The variants that experiments compare: Product has the default flags, the
// others switch off or replace parts of the mesh and serve as baselines.
var (
	Product        = Variant{Name: "product"}
	NoAdmission    = Variant{Name: "no admission", Flags: []string{"--queue=none", "--balance=round-robin", "--no-hedge"}}
	FIFORoundRobin = Variant{Name: "fifo, round robin", Flags: []string{"--queue=fifo", "--balance=round-robin", "--no-hedge"}}
	NoHedge        = Variant{Name: "round robin, no hedge", Flags: []string{"--balance=round-robin", "--no-hedge"}}
	AllNodesWatch  = Variant{Name: "every node watches", Flags: []string{"--spread=watch"}}
)

// Instance is one node of a fleet, with the addresses of its listeners and of its
// upstream.
type Instance struct {
	Name              string
	Service           string
	Location          Location
	CallerAddress     string
	PeerListenAddress string
	AdminAddress      string
	UpstreamAddress   string
	// LinkAddress is the address of the proxy that adds network latency in front of
	// the peer listener; empty if the layout has no latency.
	LinkAddress string
	process     *Process
}

// Fleet holds the processes of a running layout: the nodes, their upstreams, the
// fake platform and the proxies that add network latency.
type Fleet struct {
	Layout          Layout
	Variant         Variant
	Instances       []*Instance
	platform        *Process
	upstreams       *Process
	links           *Process
	platformAddress string
	upstreamControl string
	version         uint64
	http            *http.Client
	ports           *ports
	rand            *rand.Rand
}

// StartFleet starts the processes of a layout, publishes its configuration and
// waits until every node has the configuration and knows every upstream.
func StartFleet(ctx context.Context, layout Layout, variant Variant) (*Fleet, error) {
	ft := &Fleet{
		Layout:  layout,
		Variant: variant,
		http:    &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout},
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
	if err := ft.assignAddresses(); err != nil {
		return err
	}
	var err error
	if ft.platform, err = startProcess(ft.platformAddress+"\n", verbPlatform); err != nil {
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

// assignAddresses creates the fleet's instances and gives each its name, its
// availability zone and free loopback addresses.
func (ft *Fleet) assignAddresses() error {
	if err := ft.ports.takeAll(&ft.platformAddress, &ft.upstreamControl); err != nil {
		return err
	}
	for _, group := range ft.Layout.Groups {
		for range group.Upstreams {
			number := len(ft.Instances)
			instance := &Instance{
				Name:     fmt.Sprintf("n%d", number),
				Service:  string(group.Service),
				Location: ft.Layout.Locations[number%len(ft.Layout.Locations)],
			}
			addresses := []*string{&instance.CallerAddress, &instance.PeerListenAddress, &instance.AdminAddress, &instance.UpstreamAddress}
			if ft.Layout.Latency > 0 {
				addresses = append(addresses, &instance.LinkAddress)
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
	spec := upstreamSetSpec{Control: ft.upstreamControl}
	for _, instance := range ft.Instances {
		spec.Upstreams = append(spec.Upstreams, upstreamSpec{
			Service:     instance.Service,
			Address:     instance.UpstreamAddress,
			Admin:       instance.AdminAddress,
			Slots:       ft.Layout.Slots,
			Connections: ft.Layout.Connections,
		})
	}
	text, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	ft.upstreams, err = startProcess(string(text), verbUpstreams)
	return err
}

// startNode starts the process of a node. The node joins through two randomly
// chosen instances.
func (ft *Fleet) startNode(instance *Instance) error {
	args := []string{
		verbNode, "node",
		"--instance", instance.Name,
		"--zone", string(instance.Location.Zone),
		"--region", string(instance.Location.Region),
		"--platform", "http://" + ft.platformAddress,
		"--listen", instance.CallerAddress,
		"--peer-listen", instance.PeerListenAddress,
		"--admin-listen", instance.AdminAddress,
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
		_, err := ft.applyLayoutConfig(ctx)
		return err
	})
}

// AwaitReady waits until every node has the latest configuration and lists every
// node as alive and with an upstream.
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
	upstreamCount := 0
	for _, member := range status.GetNodes() {
		if member.GetUpstream() && member.GetState() == "alive" {
			upstreamCount++
		}
	}
	if status.GetVersion() < ft.version || upstreamCount < len(ft.Instances) {
		return errors.Errorf("%s holds version %d of %d and knows %d of %d upstreams",
			instance.Name, status.GetVersion(), ft.version, upstreamCount, len(ft.Instances))
	}
	return nil
}

// await repeats check until check returns nil. If the context ends or
// readyTimeout expires first, await returns the last error of check, with what in
// its text.
func await(ctx context.Context, what string, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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

// sleep waits for the given time. It returns false if the context ended first.
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

// Stop kills all processes of the fleet.
func (ft *Fleet) Stop() {
	processes := []*Process{ft.links, ft.upstreams, ft.platform}
	for _, instance := range ft.Instances {
		processes = append(processes, instance.process)
	}
	for _, process := range processes {
		if process != nil {
			process.kill()
		}
	}
}

// RestartAll kills all nodes at the same time and starts them again.
func (ft *Fleet) RestartAll() error {
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

// callerAddresses returns the addresses at which the nodes accept calls.
func (ft *Fleet) callerAddresses() []string {
	addresses := make([]string, 0, len(ft.Instances))
	for _, instance := range ft.Instances {
		addresses = append(addresses, instance.CallerAddress)
	}
	return addresses
}

// exitedNodes returns the names of the nodes whose process has ended.
func (ft *Fleet) exitedNodes() string {
	var names []string
	for _, instance := range ft.Instances {
		if !instance.process.alive() {
			names = append(names, instance.Name)
		}
	}
	return strings.Join(names, " ")
}
