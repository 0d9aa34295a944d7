package admit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// Preview is what a controller would do with a work item.
type Preview struct {
	// Runs is true if the work would run at once. If neither it nor Refused is set, the
	// work would wait in the queue.
	Runs    bool
	Refused *fault.Error
	// Wait is the expected wait for a slot and for the rate limit.
	Wait time.Duration
	// Expected is how long the work is likely to run.
	Expected time.Duration
	// Evicts is the number of less important work items that would be refused for it.
	Evicts                 int
	Slots, Running, Queued int
}

// Preview returns what Submit would do with a work item now. It changes nothing and draws
// no random number of the controller, so that the time to come back of a refusal differs
// by the jitter.
func (ct *Controller) Preview(work WorkItem, now time.Time) Preview {
	// An item counts as asked for by its team, so that Submit gets a copy of its own.
	estimated := ct.Copy()
	item := estimated.newQueueItem(work, now)
	preview := Preview{Expected: item.ExpectedDuration, Slots: ct.slots, Running: ct.Running(), Queued: ct.Queued()}
	wait := estimated.estimateWait(item, estimated.countAhead(item, work.Importance, now), now)
	for _, effect := range ct.Copy().Submit(work, now) {
		switch ef := effect.(type) {
		case Dispatch:
			preview.Runs = true
		case Refuse:
			if ef.Work.ID == work.ID {
				preview.Refused = ef.Err
			} else {
				preview.Evicts++
			}
		}
	}
	if !preview.Runs {
		preview.Wait = wait
	}
	return preview
}

// Copy returns a controller with copies of all that Submit changes. Questions to it leave
// the original as it is; it must not be told that work ended.
func (ct *Controller) Copy() *Controller {
	copied := *ct
	copied.running, copied.queue = maps.Clone(ct.running), slices.Clone(ct.queue)
	copied.rng = rand.New(rand.NewPCG(0, 0))
	if ct.link.pendingRetries != nil {
		pending := *ct.link.pendingRetries
		copied.link.pendingRetries = &pending
	}
	copied.copyShares()
	return &copied
}

// copyShares gives the controller shares of its own, to which its work refers.
func (ct *Controller) copyShares() {
	if ct.shares == nil {
		return
	}
	shared, copied := ct.shares, *ct.shares
	copied.teams = make(map[types.TeamName]*teamShare, len(shared.teams))
	owned := map[*teamShare]*teamShare{&shared.others: &copied.others}
	for name, team := range shared.teams {
		own := *team
		copied.teams[name], owned[team] = &own, &own
	}
	ct.shares = &copied
	// A record that was dropped is referred to by work alone.
	for i := range ct.queue {
		if own, ok := owned[ct.queue[i].share.team]; ok {
			ct.queue[i].share.team = own
		}
	}
	for id, active := range ct.running {
		running := *active
		if own, ok := owned[running.share.team]; ok {
			running.share.team = own
		}
		ct.running[id] = &running
	}
}
