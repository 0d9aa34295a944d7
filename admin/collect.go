package admin

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
)

const (
	collectTimeout = 2 * time.Second
	collectFanOut  = 16
)

// collect requests the recorded events of all other nodes that are alive and not
// suspect. It also returns the IDs of the nodes whose request failed.
func (sv *server) collect(ctx context.Context, request *opsv1.TimelineRequest) ([][]trace.Entry, []string) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	local := proto.CloneOf(request)
	local.Local = true
	var mu sync.Mutex
	var lists [][]trace.Entry
	var unreachable []string
	var group sync.WaitGroup
	limit := make(chan struct{}, collectFanOut)
	view := sv.service.View()
	for _, member := range view.Members {
		if member.ID == view.Self || member.Status != fleet.Alive {
			continue
		}
		group.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			entries, err := sv.service.Collect(ctx, member.Address, local)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, string(member.ID))
				return
			}
			lists = append(lists, entries)
		})
	}
	group.Wait()
	slices.Sort(unreachable)
	return lists, unreachable
}
