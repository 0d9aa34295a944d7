package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/api/opsv1/opsv1connect"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/trace"
)

func (ft *Fleet) operator(instance *Instance) opsv1connect.OperatorClient {
	return opsv1connect.NewOperatorClient(ft.http, "http://"+instance.Admin)
}

func (ft *Fleet) anyInstance() *Instance {
	return ft.Instances[ft.rand.IntN(len(ft.Instances))]
}

func (ft *Fleet) status(ctx context.Context, instance *Instance) (*opsv1.StatusResponse, error) {
	response, err := ft.operator(instance).Status(ctx, connect.NewRequest(&opsv1.StatusRequest{}))
	if err != nil {
		return nil, codec.FaultFromRPC(err)
	}
	return response.Msg, nil
}

// applyAll publishes the layout's whole configuration.
func (ft *Fleet) applyAll(ctx context.Context) (uint64, error) {
	return ft.apply(ctx, ft.Layout.Config(), true)
}

// applyChange publishes the numbered small change.
func (ft *Fleet) applyChange(ctx context.Context, number int) (uint64, error) {
	return ft.apply(ctx, ft.Layout.changed(number), false)
}

func (ft *Fleet) apply(ctx context.Context, config conf.Config, replace bool) (uint64, error) {
	request := &opsv1.ApplyRequest{
		BaseVersion: ft.version,
		ChangeId:    uuid.NewString(),
		Config:      codec.ConfigToProto(config),
		Replace:     replace,
	}
	response, err := ft.operator(ft.anyInstance()).Apply(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, codec.FaultFromRPC(err)
	}
	ft.version = response.Msg.GetVersion()
	return ft.version, nil
}

// adoptions returns when an instance took each version into force.
func (ft *Fleet) adoptions(ctx context.Context, instance *Instance, since time.Time) (map[uint64]time.Time, error) {
	request := &opsv1.TimelineRequest{Since: timestamppb.New(since), Local: true}
	response, err := ft.operator(instance).Timeline(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, codec.FaultFromRPC(err)
	}
	times := map[uint64]time.Time{}
	for _, event := range response.Msg.GetEvents() {
		if event.GetKind() == trace.ConfigAdopted.String() {
			times[event.GetVersion()] = event.GetTime().AsTime()
		}
	}
	return times, nil
}

// setFaults changes the failures of the platform.
func (ft *Fleet) setFaults(faults fakes.Faults) error {
	return ft.postJSON("http://"+ft.address+"/faults", faults, nil)
}

// platformCounts returns the calls that the platform took.
func (ft *Fleet) platformCounts() (fakes.Counts, error) {
	var counts fakes.Counts
	response, err := ft.http.Get("http://" + ft.address + "/counts")
	if err != nil {
		return counts, err
	}
	defer func() { _ = response.Body.Close() }()
	return counts, json.NewDecoder(response.Body).Decode(&counts)
}

// change changes one upstream.
func (ft *Fleet) change(change groupChange) error {
	return ft.postJSON("http://"+ft.control, change, nil)
}

// groupCounts returns what the upstreams have done.
func (ft *Fleet) groupCounts() (groupCounts, error) {
	var counts groupCounts
	response, err := ft.http.Get("http://" + ft.control)
	if err != nil {
		return counts, err
	}
	defer func() { _ = response.Body.Close() }()
	return counts, json.NewDecoder(response.Body).Decode(&counts)
}

func (ft *Fleet) postJSON(url string, input, output any) error {
	body, err := json.Marshal(input)
	if err != nil {
		return err
	}
	response, err := ft.http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if output == nil || response.StatusCode != http.StatusOK {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(output)
}

// Reading is what all nodes together have used and counted.
type Reading struct {
	When     time.Time
	Usage    Usage
	Platform fakes.Counts
	Metrics  Scrape
	Nodes    int
}

// read reads the accounts of all nodes, then their counters if asked.
func (ft *Fleet) read(withMetrics bool) (Reading, error) {
	reading := Reading{When: time.Now(), Nodes: len(ft.Instances), Metrics: Scrape{}}
	for _, instance := range ft.Instances {
		usage, err := instance.process.usage()
		if err != nil {
			return reading, err
		}
		reading.Usage.CPU += usage.CPU
		reading.Usage.Resident += usage.Resident
		reading.Usage.In += usage.In
		reading.Usage.Out += usage.Out
	}
	var err error
	if reading.Platform, err = ft.platformCounts(); err != nil || !withMetrics {
		return reading, err
	}
	for _, instance := range ft.Instances {
		metrics, err := scrape(ft.http, instance.Admin)
		if err != nil {
			return reading, err
		}
		reading.Metrics = reading.Metrics.Add(metrics)
	}
	return reading, nil
}

// Rates are uses per node.
type Rates struct {
	// Span is the time over which they were taken.
	Span time.Duration
	// CPU is the share of a core.
	CPU float64
	// Resident is in bytes.
	Resident float64
	// In and Out are bytes a second.
	In, Out float64
	// Exchanges are the membership messages sent a second.
	Exchanges float64
	// Calls are those of the platform by all nodes, a second.
	Calls float64
	// Watches counts the watches opened since the start of the fleet.
	Watches float64
}

// rates returns the use per node between two readings.
func rates(from, to Reading) Rates {
	span := to.When.Sub(from.When)
	seconds := span.Seconds() * float64(to.Nodes)
	used := to.Usage.Sub(from.Usage)
	return Rates{
		Span:     span,
		CPU:      used.CPU.Seconds() / seconds,
		Resident: float64(used.Resident) / float64(to.Nodes),
		In:       float64(used.In) / seconds,
		Out:      float64(used.Out) / seconds,
		Watches:  float64(to.Platform.Watches),
	}
}
