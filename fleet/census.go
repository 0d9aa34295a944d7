package fleet

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Census is a count of the nodes that a table knows.
type Census struct {
	// Running is the number of nodes that may be running: all but those that left. The
	// node itself is one of them.
	Running int
	// Able are the nodes that are alive and do not stop.
	Able []types.InstanceID
	// Together is true if there are other nodes, and none of them started at a time that
	// differs from this node's by more than the margin.
	Together bool
}

// Census counts the nodes. The order of Able is not fixed.
func (tb *Table) Census(margin time.Duration) Census {
	census := Census{Running: 1, Together: len(tb.records) > 0}
	if tb.self.Status == Alive && !tb.self.Leaving {
		census.Able = append(census.Able, tb.self.ID)
	}
	for _, rc := range tb.records {
		if rc.member.Status == Left {
			continue
		}
		census.Running++
		if rc.member.Status == Alive && !rc.member.Leaving {
			census.Able = append(census.Able, rc.member.ID)
		}
		census.Together = census.Together && rc.member.StartedAt.Sub(tb.self.StartedAt).Abs() <= margin
	}
	return census
}
