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

// writePacks stores the new packs of the next version. A pack that the current
// root deletes is stored anew, so that its late deletion fails by the revision.
func (pb *Publisher) writePacks(ctx context.Context, before stored, packs []conf.Pack) error {
	for _, pack := range packs {
		object, ok := before.packs[pack.Hash]
		if ok && slices.Contains(before.root.Deleting, pack.Hash) {
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

// writePack stores a pack. One that exists already is compared and, if it has
// another content than its name says, written over.
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

func (pb *Publisher) deletePack(ctx context.Context, object plat.Object) error {
	return pb.retry(ctx, func() error {
		err := pb.store.Delete(ctx, object)
		if fault.Is(err, fault.NotFound) || fault.Is(err, fault.VersionConflict) {
			return nil
		}
		return err
	})
}

// deletePacks deletes what the committed root says is being deleted, in the
// revisions listed before the commit. What fails is left to the next change.
func (pb *Publisher) deletePacks(ctx context.Context, before stored, bundle conf.Bundle) {
	root, err := codec.ReadRoot(bundle.RootBody)
	if err != nil {
		return
	}
	for _, hash := range root.Deleting {
		if err := pb.store.Delete(ctx, before.packs[hash]); fault.Is(err, fault.PlatformUnavailable) {
			return
		}
	}
}
