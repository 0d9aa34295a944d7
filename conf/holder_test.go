package conf_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func snapshotOf(t is.T, version types.Version, digest types.Hash) conf.Snapshot {
	snap, err := conf.NewSnapshot(conf.Root{Version: version}, digest, conf.Config{}, conf.Bundle{})
	if err != nil {
		t.Fail()
	}
	return snap
}

func good(t is.T, version types.Version) conf.Offered {
	return conf.Offered{Snapshot: snapshotOf(t, version, "good"), Version: version}
}

func bad(version types.Version, platform bool) conf.Offered {
	return conf.Offered{Version: version, Platform: platform, Err: fault.New(fault.ConfigRefused, "dangling")}
}

// model is the highest good version so far and the highest known floor.
type model struct{ best, floor types.Version }

func (m *model) offer(t *rapid.T, holder *conf.Holder, version types.Version) {
	adopted := version > m.best && version >= m.floor
	if effects := holder.Offer(good(t, version), start); adopted != (len(effects) == 1) {
		t.Fatalf("version %d at version %d, floor %d: effects %v", version, m.best, m.floor, effects)
	}
	if adopted {
		m.best, m.floor = version, version
	}
	if refused := holder.Refused(); adopted && refused.Err != nil && refused.Version <= version {
		t.Fatalf("refused version %d stays after version %d", refused.Version, version)
	}
}

func (m *model) offerBad(t *rapid.T, holder *conf.Holder, version types.Version) {
	before := holder.Refused()
	effects := holder.Offer(bad(version, false), start)
	if version <= m.best && (len(effects) > 0 || holder.Refused() != before) {
		t.Fatalf("a bad version %d matters at version %d", version, m.best)
	}
	if version > m.best && holder.Refused().Version != version {
		t.Fatalf("a bad version %d is not remembered", version)
	}
}

// TestHolderNeverGoesBack offers good, bad, late and duplicate versions in any
// order and compares the holder with the highest good offer so far.
func TestHolderNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder, want := conf.NewHolder(), &model{}
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			version := types.Version(rapid.IntRange(1, 12).Draw(t, "version"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				holder.RaiseFloor(version)
				want.floor = max(want.floor, version)
			case 1:
				want.offerBad(t, holder, version)
			default:
				want.offer(t, holder, version)
			}
			if holder.Current().Version() != want.best || holder.Floor() != want.floor {
				t.Fatalf("holds %d from %d, want %+v", holder.Current().Version(), holder.Floor(), want)
			}
			if holder.Ready() != (want.best > 0 && want.best >= want.floor) {
				t.Fatalf("ready is %t, want %+v", holder.Ready(), want)
			}
		}
	})
}

func TestHolderPlatformRoot(t *testing.T) {
	root := func(version types.Version, digest types.Hash) conf.Offered {
		return conf.Offered{Version: version, Digest: digest, Platform: true}
	}
	steps := []struct {
		name    string
		offer   conf.Offered
		effects int
		version types.Version
		refused string
	}{
		{"a good version is taken", good(t, 4), 1, 4, ""},
		{"the same root is no fault", root(4, "good"), 0, 4, ""},
		{"another root of the same version is refused", root(4, "other"), 1, 4, "the platform's root of version 4 differs from the one in force"},
		{"a fault is reported once", root(4, "other"), 0, 4, "the platform's root of version 4 differs from the one in force"},
		{"the root in force clears it", root(4, "good"), 0, 4, ""},
		{"a lower root is refused", root(3, "old"), 1, 4, "the platform's root went back from version 4 to 3"},
		{"a late good version of a peer changes nothing", good(t, 2), 0, 4, "the platform's root went back from version 4 to 3"},
		{"an unreadable root is refused", bad(0, true), 1, 4, "dangling"},
		{"an error that is no refusal changes nothing", conf.Offered{Version: 6, Err: fault.New(fault.PlatformUnavailable, "down")}, 0, 4, "dangling"},
		{"a bad higher version is refused", bad(6, true), 1, 4, "dangling"},
		{"a lower good version does not clear it", good(t, 5), 1, 5, "dangling"},
		{"a later good version clears it", good(t, 6), 1, 6, ""},
	}
	holder := conf.NewHolder()
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(holder.Offer(step.offer, start)), step.effects)
			is.Equal(holder.Current().Version(), step.version)
			if step.refused == "" {
				is.True(holder.Refused().Err == nil)
				return
			}
			is.Equal(holder.Refused().Err.Message, step.refused)
		})
	}
}
