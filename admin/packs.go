package admin

import (
	"bytes"
	"context"
	"slices"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

// listPacks returns all stored packs, keyed by the hash in their names. A pack is
// an object that holds the bodies of several resources.
func (pb *Publisher) listPacks(ctx context.Context) (map[types.Hash]plat.Object, error) {
	packs := map[types.Hash]plat.Object{}
	err := pb.retry(ctx, func() error {
		objects, err := pb.store.List(ctx, plat.BodyKind)
		for _, object := range objects {
			if object.Err != nil {
				continue
			}
			packs[types.Hash(object.Name.Name)] = object
		}
		return err
	})
	return packs, err
}

// writePacks stores the given packs that are missing on the platform or damaged.
// If the current root lists a pack as to be deleted, writePacks deletes the pack
// and stores it again. The pack then has a new revision, and a delayed deletion
// of the old revision fails.
func (pb *Publisher) writePacks(ctx context.Context, before platformState, packs []conf.Pack) error {
	for _, pack := range packs {
		object, ok := before.packs[pack.Hash]
		if ok && slices.Contains(before.root.PacksToDelete, pack.Hash) {
			if err := pb.deletePack(ctx, object); err != nil {
				return err
			}
			ok = false
		}
		if ok && bytes.Equal(object.Body, pack.Text) {
			continue
		}
		if !ok {
			object = plat.Object{Name: packName(pack.Hash)}
		}
		if err := pb.writePack(ctx, object.WithBody(pack.Text)); err != nil {
			return err
		}
	}
	return nil
}

// writePack stores a pack. The name of the object is the hash of its content. An
// existing object of this name with other content is therefore damaged, and
// writePack overwrites it.
func (pb *Publisher) writePack(ctx context.Context, object plat.Object) error {
	return pb.retry(ctx, func() error {
		_, err := pb.store.Put(ctx, object)
		if !fault.Is(err, fault.VersionConflict) {
			return err
		}
		present, err := pb.store.Get(ctx, object.Name)
		if err != nil {
			return err
		}
		if bytes.Equal(present.Body, object.Body) {
			return nil
		}
		_, err = pb.store.Put(ctx, present.WithBody(object.Body))
		return err
	})
}

// deletePack deletes a pack if the pack still has the revision of the given
// object. Otherwise it does nothing and returns no error.
func (pb *Publisher) deletePack(ctx context.Context, object plat.Object) error {
	return pb.retry(ctx, func() error {
		err := pb.store.Delete(ctx, object)
		if fault.Is(err, fault.NotFound) || fault.Is(err, fault.VersionConflict) {
			return nil
		}
		return err
	})
}

// deletePacks deletes the packs that the committed root lists as to be deleted.
// It deletes only the revisions that were listed before the commit. If the
// platform is unavailable, deletePacks stops and the next change deletes the
// rest.
func (pb *Publisher) deletePacks(ctx context.Context, before platformState, bundle conf.Bundle) {
	root, err := codec.ReadRoot(bundle.RootBody)
	if err != nil {
		return
	}
	for _, hash := range root.PacksToDelete {
		if err := pb.store.Delete(ctx, before.packs[hash]); fault.Is(err, fault.PlatformUnavailable) {
			return
		}
	}
}
