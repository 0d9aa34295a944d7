package codec

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

type changeWire struct {
	Config  fileWire `json:"config"`
	Replace bool     `json:"replace"`
	Delete  []string `json:"delete"`
}

// HashChange returns the hash of a requested change of the configuration. The
// order of the resources does not affect the hash.
func HashChange(config conf.Config, replace bool, remove []conf.Key) (types.Hash, error) {
	wire := changeWire{Config: configToWire(config), Replace: replace}
	slices.SortFunc(wire.Config.Services, func(a, b serviceWire) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(wire.Config.Routes, func(a, b routeWire) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(wire.Config.UpstreamRules, func(a, b ruleWire) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(wire.Config.Teams, func(a, b teamWire) int { return cmp.Compare(a.Name, b.Name) })
	for _, key := range remove {
		wire.Delete = append(wire.Delete, key.Kind.String()+"/"+key.Name)
	}
	slices.Sort(wire.Delete)
	text, err := json.Marshal(wire)
	if err != nil {
		return "", errors.WithMessage(err, "encode change")
	}
	return HashOf(text), nil
}

// Diff returns the resources that were added, changed or removed between two
// configurations.
func Diff(old, next conf.Config) ([]conf.Difference, error) {
	before, _, err := encodeResources(old)
	if err != nil {
		return nil, err
	}
	after, _, err := encodeResources(next)
	if err != nil {
		return nil, err
	}
	return conf.Diff(before, after), nil
}
