package blame

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// finishedRuns holds when requests last ran to their end, of the latest ones. Reports of
// a crash may come after a run that speaks for a request.
type finishedRuns struct {
	at map[types.ContentHash]time.Time
	// order is a ring of the requests in at, of which next is the oldest.
	order []types.ContentHash
	next  int
}

func newFinishedRuns(size int) finishedRuns {
	return finishedRuns{at: map[types.ContentHash]time.Time{}, order: make([]types.ContentHash, size)}
}

func (fr *finishedRuns) add(content types.ContentHash, now time.Time) {
	if _, known := fr.at[content]; !known {
		delete(fr.at, fr.order[fr.next])
		fr.order[fr.next] = content
		fr.next = (fr.next + 1) % len(fr.order)
	}
	fr.at[content] = now
}

func (fr *finishedRuns) latest(content types.ContentHash) (time.Time, bool) {
	at, ok := fr.at[content]
	return at, ok
}
