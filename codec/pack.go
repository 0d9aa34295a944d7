package codec

import (
	"encoding/json"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxPackBytes bounds the bodies of one pack, so that its encoded form
	// stays below MaxObject.
	maxPackBytes = 600 << 10
	// maxPacks bounds the packs of one root.
	maxPacks = 16
)

type packWire struct {
	Bodies map[string][]byte `json:"bodies"`
}

// Pack stores the bodies of a sealed bundle in packs. A body that a pack of
// the previous root holds stays there, unless the packs have become many; then
// all bodies move to new ones. It returns the bundle whose root names the
// packs, and the new packs.
func Pack(bundle conf.Bundle, previous conf.Root) (conf.Bundle, []conf.Pack, error) {
	root, err := ReadRoot(bundle.RootBody)
	if err != nil {
		return conf.Bundle{}, nil, err
	}
	stored := previous.PackOf()
	packs, err := newPacks(root, bundle, stored)
	if err != nil {
		return conf.Bundle{}, nil, err
	}
	if assign(&root, stored, packs) > maxPacks {
		stored = nil
		if packs, err = newPacks(root, bundle, stored); err != nil {
			return conf.Bundle{}, nil, err
		}
		assign(&root, stored, packs)
	}
	bundle.RootBody, err = writeRoot(root.WithoutNamed())
	return bundle, packs, err
}

// newPacks fills packs with the bodies that are not stored.
func newPacks(root conf.Root, bundle conf.Bundle, stored map[types.Hash]types.Hash) ([]conf.Pack, error) {
	var packs []conf.Pack
	wire, size := packWire{Bodies: map[string][]byte{}}, 0
	flush := func() error {
		if len(wire.Bodies) == 0 {
			return nil
		}
		pack, err := writePack(wire)
		packs = append(packs, pack)
		wire, size = packWire{Bodies: map[string][]byte{}}, 0
		return err
	}
	for _, entry := range root.Entries {
		body := bundle.Bodies[entry.Hash]
		if _, ok := stored[entry.Hash]; ok {
			continue
		}
		if size+len(body) > maxPackBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		wire.Bodies[string(entry.Hash)] = body
		size += len(body)
	}
	err := flush()
	return packs, err
}

// assign names the pack of each entry and returns the number of packs.
func assign(root *conf.Root, stored map[types.Hash]types.Hash, packs []conf.Pack) int {
	used := map[types.Hash]bool{}
	for at, entry := range root.Entries {
		pack, ok := stored[entry.Hash]
		for _, candidate := range packs {
			if _, holds := candidate.Bodies[entry.Hash]; holds && !ok {
				pack = candidate.Hash
			}
		}
		root.Entries[at].Pack = pack
		used[pack] = true
	}
	return len(used)
}

func writePack(wire packWire) (conf.Pack, error) {
	text, err := json.Marshal(wire)
	if err != nil {
		return conf.Pack{}, errors.WithMessage(err, "encode pack")
	}
	if len(text) > MaxObject {
		return conf.Pack{}, fault.New(fault.TooLarge, "a pack has %d bytes of at most %d", len(text), MaxObject)
	}
	pack := conf.Pack{Hash: HashOf(text), Text: text, Bodies: map[types.Hash][]byte{}}
	for hash, body := range wire.Bodies {
		pack.Bodies[types.Hash(hash)] = body
	}
	return pack, nil
}

// ReadPack decodes a pack and checks that it has a hash.
func ReadPack(text []byte, hash types.Hash) (conf.Pack, error) {
	if len(text) > MaxObject {
		return conf.Pack{}, fault.New(fault.ConfigRefused, "pack %s has %d bytes of at most %d", hash, len(text), MaxObject)
	}
	if HashOf(text) != hash {
		return conf.Pack{}, fault.New(fault.ConfigRefused, "pack %s does not have its hash", hash)
	}
	var wire packWire
	if err := strictJSON(text, &wire); err != nil {
		return conf.Pack{}, fault.New(fault.ConfigRefused, "pack %s: %v", hash, err)
	}
	pack := conf.Pack{Hash: hash, Text: text, Bodies: make(map[types.Hash][]byte, len(wire.Bodies))}
	for name, body := range wire.Bodies {
		pack.Bodies[types.Hash(name)] = body
	}
	return pack, nil
}
