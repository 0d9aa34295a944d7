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

func (ft *Fleet) operatorClient(instance *Instance) opsv1connect.OperatorClient {
	return opsv1connect.NewOperatorClient(ft.http, "http://"+instance.AdminAddress)
}

func (ft *Fleet) anyInstance() *Instance {
	return ft.Instances[ft.rand.IntN(len(ft.Instances))]
}

func (ft *Fleet) status(ctx context.Context, instance *Instance) (*opsv1.StatusResponse, error) {
	response, err := ft.operatorClient(instance).Status(ctx, connect.NewRequest(&opsv1.StatusRequest{}))
	if err != nil {
		return nil, codec.FaultFromRPC(err)
	}
	return response.Msg, nil
}

// applyLayoutConfig publishes the complete configuration of the layout and
// returns its version.
func (ft *Fleet) applyLayoutConfig(ctx context.Context) (uint64, error) {
	return ft.apply(ctx, ft.Layout.Config(), true)
}

// applySmallChange publishes a configuration that changes the deadline of one
// route, and returns its version. Each number gives a different change.
func (ft *Fleet) applySmallChange(ctx context.Context, number int) (uint64, error) {
	return ft.apply(ctx, ft.Layout.smallChange(number), false)
}

func (ft *Fleet) apply(ctx context.Context, config conf.Config, replace bool) (uint64, error) {
	request := &opsv1.ApplyRequest{
		BaseVersion: ft.version,
		ChangeId:    uuid.NewString(),
		Config:      codec.ConfigToProto(config),
		Replace:     replace,
	}
	response, err := ft.operatorClient(ft.anyInstance()).Apply(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, codec.FaultFromRPC(err)
	}
	ft.version = response.Msg.GetVersion()
	return ft.version, nil
}

// adoptionTimes returns, for each configuration version, the time at which the
// version took effect on the instance.
func (ft *Fleet) adoptionTimes(ctx context.Context, instance *Instance, since time.Time) (map[uint64]time.Time, error) {
	request := &opsv1.TimelineRequest{Since: timestamppb.New(since), Local: true}
	response, err := ft.operatorClient(instance).Timeline(ctx, connect.NewRequest(request))
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

// setFaults sets the faults that the fake platform injects.
func (ft *Fleet) setFaults(faults fakes.Faults) error {
	return ft.postJSON("http://"+ft.platformAddress+"/faults", faults, nil)
}

// platformCounts returns how many calls of each kind the fake platform has
// received.
func (ft *Fleet) platformCounts() (fakes.CallCounts, error) {
	var counts fakes.CallCounts
	response, err := ft.http.Get("http://" + ft.platformAddress + "/counts")
	if err != nil {
		return counts, err
	}
	defer func() { _ = response.Body.Close() }()
	return counts, json.NewDecoder(response.Body).Decode(&counts)
}

// changeUpstream sets the slowdown and leaving state of one upstream.
func (ft *Fleet) changeUpstream(change upstreamChange) error {
	return ft.postJSON("http://"+ft.upstreamControl, change, nil)
}

// upstreamCounts returns the counters of the fake upstreams.
func (ft *Fleet) upstreamCounts() (upstreamCounts, error) {
	var counts upstreamCounts
	response, err := ft.http.Get("http://" + ft.upstreamControl)
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

// UsageReading holds the resource usage and the counters of all nodes together,
// and the platform's counters, at one time.
type UsageReading struct {
	Time     time.Time
	Usage    Usage
	Platform fakes.CallCounts
	Metrics  Scrape
	Nodes    int
}

// readUsage reads the resource usage of all node processes and the platform's
// counters. If withMetrics is true, it then reads the metrics of all nodes.
func (ft *Fleet) readUsage(withMetrics bool) (UsageReading, error) {
	reading := UsageReading{Time: time.Now(), Nodes: len(ft.Instances), Metrics: Scrape{}}
	for _, instance := range ft.Instances {
		usage, err := instance.process.usage()
		if err != nil {
			return reading, err
		}
		reading.Usage.CPU += usage.CPU
		reading.Usage.ResidentBytes += usage.ResidentBytes
		reading.Usage.BytesRead += usage.BytesRead
		reading.Usage.BytesWritten += usage.BytesWritten
	}
	var err error
	if reading.Platform, err = ft.platformCounts(); err != nil || !withMetrics {
		return reading, err
	}
	for _, instance := range ft.Instances {
		metrics, err := scrape(ft.http, instance.AdminAddress)
		if err != nil {
			return reading, err
		}
		reading.Metrics = reading.Metrics.Add(metrics)
	}
	return reading, nil
}

// Rates holds the resource usage per node over a time span.
type Rates struct {
	// Duration is the time between the two readings.
	Duration time.Duration
	// CPU is the number of processor cores in use, usually below 1.
	CPU float64
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes float64
	// BytesRead and BytesWritten are the bytes read and written per second.
	BytesRead, BytesWritten float64
	// Exchanges is the number of membership messages sent per second.
	Exchanges float64
	// PlatformCalls is the number of platform calls per second by all nodes
	// together.
	PlatformCalls float64
	// PlatformWatches is the number of platform watches that all nodes have opened
	// since the fleet started.
	PlatformWatches float64
}

// rates returns the usage per node between two readings. It does not set
// Exchanges and PlatformCalls.
func rates(from, to UsageReading) Rates {
	span := to.Time.Sub(from.Time)
	seconds := span.Seconds() * float64(to.Nodes)
	used := to.Usage.Sub(from.Usage)
	return Rates{
		Duration:        span,
		CPU:             used.CPU.Seconds() / seconds,
		ResidentBytes:   float64(used.ResidentBytes) / float64(to.Nodes),
		BytesRead:       float64(used.BytesRead) / seconds,
		BytesWritten:    float64(used.BytesWritten) / seconds,
		PlatformWatches: float64(to.Platform.Watches),
	}
}
