package node

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/trace"
)

const summaryWindow = time.Minute

var summaryQuantiles = []float64{0.5, 0.9, 0.99, 1}

// nodeMetrics holds the metrics of one node.
type nodeMetrics struct {
	set      *metrics.Set
	counters map[trace.Counter]*metrics.Counter
}

func newNodeMetrics() *nodeMetrics {
	mt := &nodeMetrics{set: metrics.NewSet(), counters: map[trace.Counter]*metrics.Counter{}}
	for _, counter := range trace.Counters() {
		mt.counters[counter] = mt.set.NewCounter("sequoiamill_" + counter.String() + "_total")
	}
	return mt
}

func (mt *nodeMetrics) count(counter trace.Counter) { mt.counters[counter].Inc() }

// countControlBytes counts the bytes of control-plane messages received and
// sent.
func (mt *nodeMetrics) countControlBytes(in, out int) {
	mt.counters[trace.ControlBytesIn].Add(in)
	mt.counters[trace.ControlBytesOut].Add(out)
}

// countStoreCalls returns a store that counts its calls and passes them on to
// st. Opening a watch also counts as a read, because a watch begins by reading
// the object.
func (mt *nodeMetrics) countStoreCalls(st *plat.Store) *plat.Store {
	var putStatus func(context.Context, plat.Object) (plat.Object, error)
	if st.PutStatus != nil {
		putStatus = func(ctx context.Context, object plat.Object) (plat.Object, error) {
			mt.count(trace.PlatformWrites)
			return st.PutStatus(ctx, object)
		}
	}
	return &plat.Store{
		PutStatus: putStatus,
		Get: func(ctx context.Context, name plat.Name) (plat.Object, error) {
			mt.count(trace.PlatformReads)
			return st.Get(ctx, name)
		},
		GetCached: func(ctx context.Context, name plat.Name) (plat.Object, error) {
			mt.count(trace.PlatformCachedReads)
			return st.GetCached(ctx, name)
		},
		List: func(ctx context.Context, kind plat.Kind) ([]plat.Object, error) {
			mt.count(trace.PlatformReads)
			return st.List(ctx, kind)
		},
		ListCached: func(ctx context.Context, kind plat.Kind) ([]plat.Object, error) {
			mt.count(trace.PlatformCachedReads)
			return st.ListCached(ctx, kind)
		},
		Put: func(ctx context.Context, object plat.Object) (plat.Object, error) {
			mt.count(trace.PlatformWrites)
			return st.Put(ctx, object)
		},
		Delete: func(ctx context.Context, object plat.Object) error {
			mt.count(trace.PlatformWrites)
			return st.Delete(ctx, object)
		},
		WatchCached: func(ctx context.Context, name plat.Name, seen func(plat.Object)) error {
			mt.count(trace.PlatformWatches)
			return st.WatchCached(ctx, name, seen)
		},
		Watch: func(ctx context.Context, name plat.Name, seen func(plat.Object)) error {
			mt.count(trace.PlatformReads)
			mt.count(trace.PlatformWatches)
			return st.Watch(ctx, name, seen)
		},
		Era: st.Era,
	}
}

// proxyMetrics returns the functions that record the data path's latencies.
func (mt *nodeMetrics) proxyMetrics() proxy.Metrics {
	return proxy.Metrics{
		EntryResidence:  mt.timer("entry_residence"),
		OwnerResidence:  mt.timer("owner_residence"),
		ForwardOverhead: mt.timer("hop"),
	}
}

// timer returns a function that records a duration in a histogram and in a
// summary over the last minute.
func (mt *nodeMetrics) timer(name string) func(time.Duration) {
	histogram := mt.set.NewHistogram("sequoiamill_" + name + "_seconds")
	summary := mt.set.NewSummaryExt("sequoiamill_"+name+"_summary_seconds", summaryWindow, summaryQuantiles)
	return func(elapsed time.Duration) {
		histogram.Update(elapsed.Seconds())
		summary.Update(elapsed.Seconds())
	}
}

func (mt *nodeMetrics) write(writer io.Writer) {
	mt.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}
