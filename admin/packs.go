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

// listPacks returns all stored packs by the hash in their names. A pack is an object
// that holds the bodies of several resources.
func (pb *Publisher) listPacks(ctx context.Context) (map[types.Hash]plat.Object, error) {
	packs := map[types.Hash]plat.Object{}
	err := pb.retry(ctx, func() error {
		objects, err := pb.store.List(ctx, plat.BodyKind)
		for _, object := range objects {
			packs[types.Hash(object.Name.Name)] = object
		}
		return err
	})
	return packs, err
}

// writePacks stores the packs of the next version that are missing or damaged. A
// pack that the current root lists as being deleted is deleted and stored again. It
// gets another revision, so that a delayed deletion of the old one fails.
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

// writePack stores a pack. If an object of this name exists with another content,
// writePack overwrites it, since the name is the hash of the content.
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

// deletePack deletes a pack in the given revision. It succeeds if that revision no
// longer exists.
func (pb *Publisher) deletePack(ctx context.Context, object plat.Object) error {
	return pb.retry(ctx, func() error {
		err := pb.store.Delete(ctx, object)
		if fault.Is(err, fault.NotFound) || fault.Is(err, fault.VersionConflict) {
			return nil
		}
		return err
	})
}

// deletePacks deletes the packs that the committed root lists as being deleted, in
// the revisions that were listed before the commit. It stops when the platform is
// unavailable and leaves the rest to the next change.
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
