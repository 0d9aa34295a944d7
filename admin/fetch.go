package admin

import (
	"bytes"
	"context"
	"maps"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

// packName returns the name of the object that stores a pack.
func packName(hash types.Hash) plat.Name {
	return plat.Name{Kind: plat.BodyKind, Name: string(hash)}
}

// FetchBundle returns a root with the bodies of its resources. It takes the
// bodies that held contains from held, and reads the others from their packs in
// the store. If a pack is missing, FetchBundle reads the platform's root. If that
// root equals rootBody, the error is ConfigRefused. If the root has changed, the
// error is PlatformUnavailable, and the caller should read the root again.
func FetchBundle(ctx context.Context, store *plat.Store, rootBody []byte, held conf.Bundle) (conf.Bundle, error) {
	root, err := codec.ReadRoot(rootBody)
	if err != nil {
		return conf.Bundle{}, err
	}
	bundle := codec.FillBundle(conf.Bundle{RootBody: rootBody, Bodies: map[types.Hash][]byte{}}, held)
	for _, entry := range root.Entries {
		if _, ok := bundle.Bodies[entry.Hash]; ok {
			continue
		}
		pack, err := fetchPack(ctx, store, entry.Pack)
		if fault.Is(err, fault.NotFound) {
			err = missingPackError(ctx, store, rootBody, entry.Pack)
		}
		if err != nil {
			return conf.Bundle{}, err
		}
		if _, ok := pack.Bodies[entry.Hash]; !ok {
			return conf.Bundle{}, fault.New(fault.ConfigRefused, "%s %q: body %s is missing in pack %s", entry.Key.Kind, entry.Key.Name, entry.Hash, entry.Pack)
		}
		maps.Copy(bundle.Bodies, pack.Bodies)
	}
	return pruned(bundle, root), nil
}

func fetchPack(ctx context.Context, store *plat.Store, hash types.Hash) (conf.Pack, error) {
	object, err := store.Get(ctx, packName(hash))
	if err != nil {
		return conf.Pack{}, err
	}
	return codec.ReadPack(object.Body, hash)
}

// missingPackError returns the error for a pack that rootBody refers to but that
// the platform does not have. The kind of the error depends on whether the
// platform's root still equals rootBody.
func missingPackError(ctx context.Context, store *plat.Store, rootBody []byte, pack types.Hash) error {
	object, err := store.Get(ctx, plat.RootName)
	if err != nil {
		return err
	}
	if !bytes.Equal(object.Body, rootBody) {
		return fault.New(fault.PlatformUnavailable, "the root changed while its packs were read")
	}
	return fault.New(fault.ConfigRefused, "pack %s is missing", pack)
}

// pruned returns the bundle with only the bodies that the root refers to.
func pruned(bundle conf.Bundle, root conf.Root) conf.Bundle {
	bodies := make(map[types.Hash][]byte, len(root.Entries))
	for _, entry := range root.Entries {
		bodies[entry.Hash] = bundle.Bodies[entry.Hash]
	}
	return conf.Bundle{RootBody: bundle.RootBody, Bodies: bodies}
}
