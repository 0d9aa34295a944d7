package node

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

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

func (mt *meters) write(writer io.Writer) {
	mt.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}
