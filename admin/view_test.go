package admin

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

func TestLiveNodesAreLateAfterRolloutTimeout(t *testing.T) {
	is := is.New(t)
	adopted := time.Unix(1_000, 0)
	view := View{Version: 4, AdoptedAt: adopted, Members: []fleet.Member{
		{ID: "holds", Status: fleet.Alive, HeldVersion: 4},
		{ID: "lags", Status: fleet.Alive, HeldVersion: 3},
		{ID: "gone", Status: fleet.Dead, HeldVersion: 3},
	}}
	is.Equal(view.LateNodes(adopted.Add(RolloutTimeout)), nil)
	is.Equal(view.LateNodes(adopted.Add(RolloutTimeout+time.Second)), []types.InstanceID{"lags"})
}
