package codec

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

type rootWire struct {
	Version uint64         `json:"version"`
	Change  string         `json:"change-id"`
	Packs   []string       `json:"packs"`
	Entries []entryWire    `json:"entries"`
	Recent  []acceptedWire `json:"recent"`
	// Retired and Deleting list stored packs that no entry refers to.
	Retired  []retiredWire `json:"retired,omitempty"`
	Deleting []string      `json:"deleting,omitempty"`
}

type retiredWire struct {
	Pack     string `json:"pack"`
	AtMillis int64  `json:"at-millis"`
}

type entryWire struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Hash string `json:"hash"`
	// Pack is the index in the root's Packs of the pack that holds the body.
	Pack int `json:"pack"`
}

type acceptedWire struct {
	Change  string `json:"change-id"`
	Version uint64 `json:"version"`
	Content string `json:"content,omitempty"`
}

// writeRoot encodes a root in the format that ReadRoot reads.
func writeRoot(root conf.Root) ([]byte, error) {
	wire := rootWire{Version: uint64(root.Version), Change: string(root.Change)}
	packIndex := map[types.Hash]int{}
	for _, pack := range root.Packs().Sorted() {
		packIndex[pack] = len(wire.Packs)
		wire.Packs = append(wire.Packs, string(pack))
	}
	for _, entry := range root.Entries {
		item := entryWire{Kind: entry.Key.Kind.String(), Name: entry.Key.Name, Hash: string(entry.Hash), Pack: packIndex[entry.Pack]}
		wire.Entries = append(wire.Entries, item)
	}
	for _, accepted := range root.RecentChanges {
		wire.Recent = append(wire.Recent, acceptedWire{Change: string(accepted.Change), Version: uint64(accepted.Version), Content: string(accepted.Content)})
	}
	for _, retired := range root.RetiredPacks {
		wire.Retired = append(wire.Retired, retiredWire{Pack: string(retired.Pack), AtMillis: retired.At.UnixMilli()})
	}
	for _, hash := range root.PacksToDelete {
		wire.Deleting = append(wire.Deleting, string(hash))
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return nil, errors.WithMessage(err, "encode root")
	}
	if len(body) > MaxObjectSize {
		return nil, fault.New(fault.TooLarge, "the root has %d bytes of at most %d", len(body), MaxObjectSize)
	}
	return body, nil
}

// ReadRoot decodes and checks an encoded root.
func ReadRoot(body []byte) (conf.Root, error) {
	if len(body) > MaxObjectSize {
		return conf.Root{}, fault.New(fault.ConfigRefused, "the root has %d bytes of at most %d", len(body), MaxObjectSize)
	}
	var wire rootWire
	if err := strictJSON(body, &wire); err != nil {
		return conf.Root{}, fault.Wrap(fault.ConfigRefused, err, "decode root")
	}
	root := conf.Root{Version: types.Version(wire.Version), Change: types.ChangeID(wire.Change)}
	for _, item := range wire.Entries {
		kind, ok := conf.ParseResourceKind(item.Kind)
		if !ok {
			return conf.Root{}, fault.New(fault.ConfigRefused, "decode root: unknown resource kind %q", item.Kind)
		}
		if item.Pack < 0 || item.Pack >= len(wire.Packs) {
			return conf.Root{}, fault.New(fault.ConfigRefused, "decode root: %s %q names the pack %d of %d", kind, item.Name, item.Pack, len(wire.Packs))
		}
		entry := conf.RootEntry{Key: conf.Key{Kind: kind, Name: item.Name}, Hash: types.Hash(item.Hash), Pack: types.Hash(wire.Packs[item.Pack])}
		root.Entries = append(root.Entries, entry)
	}
	for _, item := range wire.Recent {
		root.RecentChanges = append(root.RecentChanges, conf.AcceptedChange{
			Change:  types.ChangeID(item.Change),
			Version: types.Version(item.Version),
			Content: types.Hash(item.Content),
		})
	}
	for _, item := range wire.Retired {
		root.RetiredPacks = append(root.RetiredPacks, conf.RetiredPack{Pack: types.Hash(item.Pack), At: time.UnixMilli(item.AtMillis)})
	}
	for _, hash := range wire.Deleting {
		root.PacksToDelete = append(root.PacksToDelete, types.Hash(hash))
	}
	if root.Version == 0 {
		return conf.Root{}, fault.New(fault.ConfigRefused, "decode root: the version is 0")
	}
	return root, nil
}
