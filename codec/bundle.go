package codec

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// MaxObjectSize is the maximum size in bytes of one object stored on the platform.
const MaxObjectSize = 1 << 20

// HashOf returns the hexadecimal SHA-256 hash of a body.
func HashOf(body []byte) types.Hash {
	sum := sha256.Sum256(body)
	return types.Hash(hex.EncodeToString(sum[:]))
}

// EncodeBundle encodes a configuration as the bundle of one version. The root of
// the bundle has the entries of the configuration. Its version and its other
// fields are those of the given root.
func EncodeBundle(root conf.Root, config conf.Config) (conf.Bundle, error) {
	entries, bodies, err := encodeResources(config)
	if err != nil {
		return conf.Bundle{}, err
	}
	root.Entries = entries
	body, err := writeRoot(root)
	return conf.Bundle{RootBody: body, Bodies: bodies}, err
}

// encodeResources encodes each resource of a configuration. It returns the
// entries of the root, whose packs are not set yet, and a map from the hash of
// each body to the body.
func encodeResources(config conf.Config) ([]conf.RootEntry, map[types.Hash][]byte, error) {
	var entries []conf.RootEntry
	bodies := map[types.Hash][]byte{}
	add := func(kind conf.ResourceKind, name string, item any) error {
		body, err := json.Marshal(item)
		if err != nil {
			return errors.WithMessage(err, "encode resource")
		}
		if len(body) > MaxObjectSize {
			return fault.New(fault.TooLarge, "%s %q has %d bytes of at most %d", kind, name, len(body), MaxObjectSize)
		}
		hash := HashOf(body)
		bodies[hash] = body
		entries = append(entries, conf.RootEntry{Key: conf.Key{Kind: kind, Name: name}, Hash: hash})
		return nil
	}
	wire := configToWire(config)
	for _, service := range wire.Services {
		if err := add(conf.ServiceKind, service.Name, service); err != nil {
			return nil, nil, err
		}
	}
	for _, route := range wire.Routes {
		if err := add(conf.RouteKind, route.Name, route); err != nil {
			return nil, nil, err
		}
	}
	for _, rule := range wire.UpstreamRules {
		if err := add(conf.UpstreamRuleKind, rule.Name, rule); err != nil {
			return nil, nil, err
		}
	}
	for _, team := range wire.Teams {
		if err := add(conf.TeamKind, team.Name, team); err != nil {
			return nil, nil, err
		}
	}
	if wire.RequireKeys {
		if err := add(conf.AccessKind, conf.AccessKey.Name, accessWire{RequireKeys: true}); err != nil {
			return nil, nil, err
		}
	}
	if wire.Limits != nil {
		if err := add(conf.LimitsKind, conf.LimitsKey.Name, wire.Limits); err != nil {
			return nil, nil, err
		}
	}
	return entries, bodies, nil
}

// DecodeBundle checks the hashes of a bundle's bodies, decodes the bundle and validates the
// configuration.
func DecodeBundle(bundle conf.Bundle) (conf.Snapshot, error) {
	root, err := ReadRoot(bundle.RootBody)
	if err != nil {
		return conf.Snapshot{}, err
	}
	var wire fileWire
	for _, entry := range root.Entries {
		if err := decodeEntry(&wire, entry, bundle); err != nil {
			return conf.Snapshot{}, err
		}
	}
	config, err := wire.toConf()
	if err != nil {
		return conf.Snapshot{}, err
	}
	return conf.NewSnapshot(root, HashOf(bundle.RootBody), config, bundle)
}

// decodeEntry checks and decodes the body of one entry and appends the resource to
// wire.
func decodeEntry(wire *fileWire, entry conf.RootEntry, bundle conf.Bundle) error {
	body, ok := bundle.Bodies[entry.Hash]
	if !ok {
		return fault.New(fault.ConfigRefused, "%s %q: body %s is missing", entry.Key.Kind, entry.Key.Name, entry.Hash)
	}
	if HashOf(body) != entry.Hash {
		return fault.New(fault.ConfigRefused, "%s %q: body does not have the hash %s", entry.Key.Kind, entry.Key.Name, entry.Hash)
	}
	var name string
	var err error
	switch entry.Key.Kind {
	case conf.ServiceKind:
		var item serviceWire
		err = strictJSON(body, &item)
		wire.Services, name = append(wire.Services, item), item.Name
	case conf.RouteKind:
		var item routeWire
		err = strictJSON(body, &item)
		wire.Routes, name = append(wire.Routes, item), item.Name
	case conf.UpstreamRuleKind:
		var item ruleWire
		err = strictJSON(body, &item)
		wire.UpstreamRules, name = append(wire.UpstreamRules, item), item.Name
	case conf.TeamKind:
		var item teamWire
		err = strictJSON(body, &item)
		wire.Teams, name = append(wire.Teams, item), item.Name
	case conf.AccessKind:
		var item accessWire
		err = strictJSON(body, &item)
		wire.RequireKeys, name = item.RequireKeys, conf.AccessKey.Name
	case conf.LimitsKind:
		err = strictJSON(body, &wire.Limits)
		name = conf.LimitsKey.Name
	}
	if err != nil {
		return fault.New(fault.ConfigRefused, "%s %q: %v", entry.Key.Kind, entry.Key.Name, err)
	}
	if name != entry.Key.Name {
		return fault.New(fault.ConfigRefused, "%s %q: the body names %q", entry.Key.Kind, entry.Key.Name, name)
	}
	return nil
}

// strictJSON decodes one JSON value into target. It returns an error for unknown
// fields and for data after the value.
func strictJSON(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("trailing data after the value")
	}
	return nil
}
