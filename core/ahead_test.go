package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

// TestVersionSpreadsAheadOfLateWatches guards against nodes that pull each version which a
// read finds just before the watches tell of it, and against nodes that wait for late watches.
func TestVersionSpreadsAheadOfLateWatches(t *testing.T) {
	const pause = 68 * time.Millisecond
	watch := conf.VersionOffered{FromPlatform: true, Reading: conf.ReadByWatch}
	poll := conf.VersionOffered{FromPlatform: true, Reading: conf.ReadByPoll}
	for _, play := range []struct {
		name  string
		told  time.Duration // how long before the read the watch told of the version before
		tells time.Duration // how long after the read it tells of the version, or 0 for never
		due   time.Duration // from when on the version spreads ahead, or 0 for never
	}{
		{name: "the watch is late", told: time.Minute, due: aheadWait},
		{name: "the watch follows", told: time.Minute, tells: 20 * time.Millisecond},
		{name: "a series of versions, and the watch pauses", told: 100 * time.Millisecond, tells: 300 * time.Millisecond},
		{name: "a series of versions, and the watch is late", told: 100 * time.Millisecond, due: pause + watchBlind + aheadWait - 100*time.Millisecond},
	} {
		t.Run(play.name, func(t *testing.T) {
			is := is.New(t)
			var check aheadCheck
			check.noteOffer(withVersion(watch, 4), true, 4, joinStart)
			read := joinStart.Add(play.told)
			check.noteOffer(withVersion(poll, 5), true, 5, read)
			from := time.Duration(0)
			for after := time.Duration(0); after <= time.Second && from == 0; after += 5 * time.Millisecond {
				if play.tells > 0 && after == play.tells {
					check.noteOffer(withVersion(watch, 5), false, 5, read.Add(after))
				}
				if check.due(pause, read.Add(after)) {
					from = after
				}
			}
			is.True(from >= play.due && from < play.due+5*time.Millisecond)
		})
	}
}

func withVersion(offer conf.VersionOffered, version uint64) conf.VersionOffered {
	offer.Version = types.Version(version)
	return offer
}
