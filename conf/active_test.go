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

func validOffer(t is.T, version types.Version) conf.VersionOffered {
	return conf.VersionOffered{Snapshot: snapshotOf(t, version, "good"), Version: version}
}

func invalidOffer(version types.Version, fromPlatform bool) conf.VersionOffered {
	return conf.VersionOffered{Version: version, FromPlatform: fromPlatform, Err: fault.New(fault.ConfigRefused, "dangling")}
}

// activeModel is the expected state of an ActiveConfig: the version in force and
// the floor. The version in force is the highest valid version that was not below
// the floor when it was offered.
type activeModel struct{ current, floor types.Version }

// offer offers a valid version to the ActiveConfig and updates the model.
func (m *activeModel) offer(t *rapid.T, active *conf.ActiveConfig, version types.Version) {
	adopted := version > m.current && version >= m.floor
	if effects := active.Offer(validOffer(t, version), start); adopted != (len(effects) == 1) {
		t.Fatalf("offered version %d at version %d, floor %d: effects %v", version, m.current, m.floor, effects)
	}
	if adopted {
		m.current, m.floor = version, version
	}
	if refused := active.Refused(); adopted && refused.Err != nil && refused.Version <= version {
		t.Fatalf("refused version %d is still recorded after the adoption of version %d", refused.Version, version)
	}
}

// offerInvalid offers an invalid version to the ActiveConfig. The ActiveConfig
// must record the version as refused only if it is above the current version.
func (m *activeModel) offerInvalid(t *rapid.T, active *conf.ActiveConfig, version types.Version) {
	before := active.Refused()
	effects := active.Offer(invalidOffer(version, false), start)
	if version <= m.current && (len(effects) > 0 || active.Refused() != before) {
		t.Fatalf("the invalid version %d has an effect at version %d", version, m.current)
	}
	if version > m.current && active.Refused().Version != version {
		t.Fatalf("the invalid version %d is not recorded as refused", version)
	}
}

// TestActiveConfigVersionNeverDecreases offers valid and invalid versions in any order,
// some of them repeatedly, and compares the ActiveConfig with a model after each offer.
func TestActiveConfigVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		active, want := conf.NewActiveConfig(), &activeModel{}
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			version := types.Version(rapid.IntRange(1, 12).Draw(t, "version"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				active.RaiseFloor(version)
				want.floor = max(want.floor, version)
			case 1:
				want.offerInvalid(t, active, version)
			default:
				want.offer(t, active, version)
			}
			if active.Current().Version() != want.current || active.Floor() != want.floor {
				t.Fatalf("version %d, floor %d, want %+v", active.Current().Version(), active.Floor(), want)
			}
			if active.Ready() != (want.current > 0 && want.current >= want.floor) {
				t.Fatalf("Ready returns %t in the expected state %+v", active.Ready(), want)
			}
		}
	})
}

func TestActiveConfigPlatformRoot(t *testing.T) {
	root := func(version types.Version, digest types.Hash) conf.VersionOffered {
		return conf.VersionOffered{Version: version, Digest: digest, FromPlatform: true}
	}
	steps := []struct {
		name    string
		offer   conf.VersionOffered
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
		{"an error of another kind than config-refused changes nothing", conf.VersionOffered{Version: 6, Err: fault.New(fault.PlatformUnavailable, "down")}, 0, 4, "dangling"},
		{"an invalid higher version is refused", invalidOffer(6, true), 1, 4, "dangling"},
		{"adopting a version below the refused one keeps the refusal", validOffer(t, 5), 1, 5, "dangling"},
		{"adopting the refused version clears the refusal", validOffer(t, 6), 1, 6, ""},
	}
	active := conf.NewActiveConfig()
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(active.Offer(step.offer, start)), step.effects)
			is.Equal(active.Current().Version(), step.version)
			if step.refused == "" {
				is.True(active.Refused().Err == nil)
				return
			}
			is.Equal(active.Refused().Err.Message, step.refused)
		})
	}
}
