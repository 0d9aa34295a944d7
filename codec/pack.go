package codec

import (
	"encoding/json"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxPackBytes limits the total size of the bodies in one pack. A single
	// larger body gets a pack of its own. The encoded pack, which contains the
	// bodies in base64, must not be larger than MaxObjectSize.
	maxPackBytes = 600 << 10
	// maxPacks limits how many packs one root refers to. This also limits how many
	// packs a node without a configuration must read to fetch a version.
	maxPacks = 16
)

type packWire struct {
	Bodies map[string][]byte `json:"bodies"`
}

// PackBundle assigns the bodies of a bundle to packs, which are the stored
// objects that hold several bodies each. A body that is in a pack of the previous
// root stays in that pack. If the root would then refer to more than maxPacks
// packs, all bodies move to new packs instead. PackBundle returns the bundle with
// the root that refers to the packs, and the new packs, which the caller must
// store.
func PackBundle(bundle conf.Bundle, previous conf.Root) (conf.Bundle, []conf.Pack, error) {
	root, err := ReadRoot(bundle.RootBody)
	if err != nil {
		return conf.Bundle{}, nil, err
	}
	stored := previous.PackByBody()
	packs, err := newPacks(root, bundle, stored)
	if err != nil {
		return conf.Bundle{}, nil, err
	}
	if assignPacks(&root, stored, packs) > maxPacks {
		stored = nil
		if packs, err = newPacks(root, bundle, stored); err != nil {
			return conf.Bundle{}, nil, err
		}
		assignPacks(&root, stored, packs)
	}
	bundle.RootBody, err = writeRoot(root.UnmarkReferenced())
	return bundle, packs, err
}

// newPacks returns new packs with the bodies that are not yet in a stored pack.
// The argument stored maps the hash of each stored body to the hash of its pack.
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

// assignPacks sets the pack of each entry of the root: the stored pack that holds
// the body, or else one of the new packs. It returns the number of packs that the
// root refers to.
func assignPacks(root *conf.Root, stored map[types.Hash]types.Hash, packs []conf.Pack) int {
	used := map[types.Hash]bool{}
	for i, entry := range root.Entries {
		pack, ok := stored[entry.Hash]
		for _, candidate := range packs {
			if _, holds := candidate.Bodies[entry.Hash]; holds && !ok {
				pack = candidate.Hash
			}
		}
		root.Entries[i].Pack = pack
		used[pack] = true
	}
	return len(used)
}

func writePack(wire packWire) (conf.Pack, error) {
	text, err := json.Marshal(wire)
	if err != nil {
		return conf.Pack{}, errors.WithMessage(err, "encode pack")
	}
	if len(text) > MaxObjectSize {
		return conf.Pack{}, fault.New(fault.TooLarge, "a pack has %d bytes of at most %d", len(text), MaxObjectSize)
	}
	pack := conf.Pack{Hash: HashOf(text), Text: text, Bodies: map[types.Hash][]byte{}}
	for hash, body := range wire.Bodies {
		pack.Bodies[types.Hash(hash)] = body
	}
	return pack, nil
}

// ReadPack decodes a pack and checks that its text has the given hash.
func ReadPack(text []byte, hash types.Hash) (conf.Pack, error) {
	if len(text) > MaxObjectSize {
		return conf.Pack{}, fault.New(fault.ConfigRefused, "pack %s has %d bytes of at most %d", hash, len(text), MaxObjectSize)
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
