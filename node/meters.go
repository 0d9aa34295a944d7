package node

import (
	"context"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/trace"
)

// meters are the counters of one node.
type meters struct {
	set      *metrics.Set
	counters map[trace.Counter]*metrics.Counter
}

func newMeters() *meters {
	mt := &meters{set: metrics.NewSet(), counters: map[trace.Counter]*metrics.Counter{}}
	for _, counter := range trace.Counters() {
		mt.counters[counter] = mt.set.NewCounter("sequoiamill_" + counter.String() + "_total")
	}
	return mt
}

func (mt *meters) count(counter trace.Counter) { mt.counters[counter].Inc() }

// control counts the bytes of control messages.
func (mt *meters) control(in, out int) {
	mt.counters[trace.ControlBytesIn].Add(in)
	mt.counters[trace.ControlBytesOut].Add(out)
}

// store counts the calls to the platform. A watch reads the object first.
func (mt *meters) store(st *plat.Store) *plat.Store {
	return &plat.Store{
		Get: func(ctx context.Context, name plat.Name) (plat.Object, error) {
			mt.count(trace.PlatformReads)
			return st.Get(ctx, name)
		},
		List: func(ctx context.Context, kind plat.Kind) ([]plat.Object, error) {
			mt.count(trace.PlatformReads)
			return st.List(ctx, kind)
		},
		Put: func(ctx context.Context, object plat.Object) (plat.Object, error) {
			mt.count(trace.PlatformWrites)
			return st.Put(ctx, object)
		},
		Delete: func(ctx context.Context, object plat.Object) error {
			mt.count(trace.PlatformWrites)
			return st.Delete(ctx, object)
		},
		Watch: func(ctx context.Context, name plat.Name, seen func(plat.Object)) error {
			mt.count(trace.PlatformReads)
			mt.count(trace.PlatformWatches)
			return st.Watch(ctx, name, seen)
		},
	}
}

func (mt *meters) write(writer io.Writer) {
	mt.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}
