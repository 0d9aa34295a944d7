package codec

import (
	"bytes"

	"google.golang.org/protobuf/types/known/durationpb"

	"sequoiamill.example/sequoiamill/api/opsv1"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// teamWire is the encoded form of a team. Keys is only read: the file may state keys in
// plain text, and what is kept, published and shown are their digests.
type teamWire struct {
	Name       string   `json:"name" yaml:"name"`
	Keys       []string `json:"keys,omitempty" yaml:"keys,omitempty"`
	KeyDigests []string `json:"key-digests,omitempty" yaml:"key-digests,omitempty"`
	Importance string   `json:"importance,omitempty" yaml:"importance,omitempty"`
	Rate       float64  `json:"rate,omitempty" yaml:"rate,omitempty"`
	Burst      float64  `json:"burst,omitempty" yaml:"burst,omitempty"`
}

func (w teamWire) toConf(faults *faultList) conf.Team {
	team := conf.Team{Name: types.TeamName(w.Name), Rate: w.Rate, Burst: w.Burst}
	for _, key := range w.Keys {
		team.Keys = append(team.Keys, types.DigestKey(key))
	}
	for number, text := range w.KeyDigests {
		digest, ok := types.ParseKeyDigest(text)
		if !ok {
			faults.add("team %q: key-digest %d is not a SHA-256 digest in hexadecimal", w.Name, number+1)
			continue
		}
		team.Keys = append(team.Keys, digest)
	}
	if w.Importance != "" {
		importance, ok := conf.ParseImportance(w.Importance)
		if !ok {
			faults.add("team %q: importance %q is not low, normal, high or critical", w.Name, w.Importance)
		}
		team.Importance = importance
	}
	return team
}

func teamToWire(team conf.Team) teamWire {
	wire := teamWire{Name: string(team.Name), Rate: team.Rate, Burst: team.Burst}
	if team.Importance != 0 {
		wire.Importance = team.Importance.String()
	}
	for _, digest := range team.Keys {
		wire.KeyDigests = append(wire.KeyDigests, digest.Hex())
	}
	return wire
}

// hasKeys reports whether a configuration file may state keys in plain text. Errors then
// show no lines of it.
func hasKeys(text []byte) bool { return bytes.Contains(text, []byte("keys")) }

func teamToProto(team conf.Team) *opsv1.Team {
	wire := &opsv1.Team{Name: string(team.Name), Importance: opsv1.Importance(team.Importance), Rate: team.Rate, Burst: team.Burst}
	for _, digest := range team.Keys {
		wire.KeyDigests = append(wire.KeyDigests, digest[:])
	}
	return wire
}

func teamFromProto(wire *opsv1.Team) (conf.Team, error) {
	team := conf.Team{
		Name: types.TeamName(wire.GetName()), Importance: conf.Importance(wire.GetImportance()), Rate: wire.GetRate(), Burst: wire.GetBurst(),
	}
	for number, text := range wire.GetKeyDigests() {
		var digest types.KeyDigest
		if len(text) != len(digest) {
			return team, fault.New(fault.ConfigRefused, "team %q: key-digest %d is not a SHA-256 digest", team.Name, number+1)
		}
		copy(digest[:], text)
		team.Keys = append(team.Keys, digest)
	}
	return team, nil
}

func limitsToProto(limits conf.Limits) *opsv1.Limits {
	if limits == (conf.Limits{}) {
		return nil
	}
	return &opsv1.Limits{
		HeaderBytes: limits.MaxHeaderBytes, BodyBytes: limits.MaxBodyBytes,
		HeaderTimeout: durationpb.New(limits.HeaderTimeout), IdleTimeout: durationpb.New(limits.IdleTimeout),
	}
}

func limitsFromProto(wire *opsv1.Limits) conf.Limits {
	return conf.Limits{
		MaxHeaderBytes: wire.GetHeaderBytes(), MaxBodyBytes: wire.GetBodyBytes(),
		HeaderTimeout: wire.GetHeaderTimeout().AsDuration(), IdleTimeout: wire.GetIdleTimeout().AsDuration(),
	}
}
