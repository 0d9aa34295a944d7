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

func validOffer(t is.T, version types.Version) conf.Offered {
	return conf.Offered{Snapshot: snapshotOf(t, version, "good"), Version: version}
}

func invalidOffer(version types.Version, platform bool) conf.Offered {
	return conf.Offered{Version: version, Platform: platform, Err: fault.New(fault.ConfigRefused, "dangling")}
}

// holderModel is the expected state of a Holder: the highest valid version offered
// so far that was not below the floor, and the floor.
type holderModel struct{ current, floor types.Version }

// offer offers a valid version to the holder and updates the model.
func (m *holderModel) offer(t *rapid.T, holder *conf.Holder, version types.Version) {
	adopted := version > m.current && version >= m.floor
	if effects := holder.Offer(validOffer(t, version), start); adopted != (len(effects) == 1) {
		t.Fatalf("offered version %d at version %d, floor %d: effects %v", version, m.current, m.floor, effects)
	}
	if adopted {
		m.current, m.floor = version, version
	}
	if refused := holder.Refused(); adopted && refused.Err != nil && refused.Version <= version {
		t.Fatalf("refused version %d is still recorded after the adoption of version %d", refused.Version, version)
	}
}

// offerInvalid offers an invalid version to the holder. It must be recorded as
// refused only if it is above the current version.
func (m *holderModel) offerInvalid(t *rapid.T, holder *conf.Holder, version types.Version) {
	before := holder.Refused()
	effects := holder.Offer(invalidOffer(version, false), start)
	if version <= m.current && (len(effects) > 0 || holder.Refused() != before) {
		t.Fatalf("the invalid version %d has an effect at version %d", version, m.current)
	}
	if version > m.current && holder.Refused().Version != version {
		t.Fatalf("the invalid version %d is not recorded as refused", version)
	}
}

// TestHolderVersionNeverDecreases offers valid and invalid versions in any order,
// some of them repeatedly, and compares the holder with a model after each offer.
func TestHolderVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder, want := conf.NewHolder(), &holderModel{}
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			version := types.Version(rapid.IntRange(1, 12).Draw(t, "version"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				holder.RaiseFloor(version)
				want.floor = max(want.floor, version)
			case 1:
				want.offerInvalid(t, holder, version)
			default:
				want.offer(t, holder, version)
			}
			if holder.Current().Version() != want.current || holder.Floor() != want.floor {
				t.Fatalf("version %d, floor %d, want %+v", holder.Current().Version(), holder.Floor(), want)
			}
			if holder.Ready() != (want.current > 0 && want.current >= want.floor) {
				t.Fatalf("Ready returns %t in the expected state %+v", holder.Ready(), want)
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
		{"a valid version is adopted", validOffer(t, 4), 1, 4, ""},
		{"the root in force is not refused", root(4, "good"), 0, 4, ""},
		{"another root of the same version is refused", root(4, "other"), 1, 4, "the platform's root of version 4 differs from the one in force"},
		{"a refusal is reported once", root(4, "other"), 0, 4, "the platform's root of version 4 differs from the one in force"},
		{"the root in force clears the refusal", root(4, "good"), 0, 4, ""},
		{"a root with a lower version is refused", root(3, "old"), 1, 4, "the platform's root went back from version 4 to 3"},
		{"a lower valid version from a peer changes nothing", validOffer(t, 2), 0, 4, "the platform's root went back from version 4 to 3"},
		{"an unreadable root is refused", invalidOffer(0, true), 1, 4, "dangling"},
		{"an error of another kind than config-refused changes nothing", conf.Offered{Version: 6, Err: fault.New(fault.PlatformUnavailable, "down")}, 0, 4, "dangling"},
		{"an invalid higher version is refused", invalidOffer(6, true), 1, 4, "dangling"},
		{"adopting a version below the refused one keeps the refusal", validOffer(t, 5), 1, 5, "dangling"},
		{"adopting the refused version clears the refusal", validOffer(t, 6), 1, 6, ""},
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
