// Package admin serves operators: it publishes configurations, reports which
// nodes hold which version and collects the time line.
//
// # Usage
//
//	publisher := admin.NewPublisher(store)
//	accepted, err := publisher.Publish(ctx, admin.Change{ID: id, Base: 3, Config: config, Replace: true})
package admin

import (
	"context"
	"time"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

const (
	readBackTries = 5
	readBackPause = 100 * time.Millisecond
)

// Change is what an operator wants published.
type Change struct {
	ID   types.ChangeID
	Base types.Version
	// Config holds the resources to put.
	Config conf.Config
	// Replace removes every resource that Config does not name.
	Replace bool
	Delete  []conf.Key
}

// Accepted is the result of a change.
type Accepted struct {
	Version types.Version
	// Repeated states that the change had been accepted before.
	Repeated bool
}

// Publisher makes new versions in the platform.
type Publisher struct {
	store *plat.Store
}

// NewPublisher returns a publisher to a store.
func NewPublisher(store *plat.Store) *Publisher { return &Publisher{store: store} }

// Publish makes one new version of a change or none at all. A change that was
// accepted before gives its first result.
func (pb *Publisher) Publish(ctx context.Context, change Change) (Accepted, error) {
	if change.ID == "" {
		return Accepted{}, fault.New(fault.InvalidInput, "the change-id is missing")
	}
	object, root, err := pb.readRoot(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if version, ok := root.ByChange(change.ID); ok {
		return Accepted{Version: version, Repeated: true}, nil
	}
	if root.Version != change.Base {
		return Accepted{}, conflict(change.Base, root.Version)
	}
	bundle, err := pb.prepare(ctx, root, change)
	if err != nil {
		return Accepted{}, err
	}
	if err := pb.writeBodies(ctx, bundle, root); err != nil {
		return Accepted{}, err
	}
	return pb.commit(ctx, object.WithBody(bundle.RootBody), change, root.Version+1)
}

// Read returns the configuration that the platform holds.
func (pb *Publisher) Read(ctx context.Context) (conf.Snapshot, error) {
	object, root, err := pb.readRoot(ctx)
	if err != nil {
		return conf.Snapshot{}, err
	}
	if root.Version == 0 {
		return conf.Snapshot{}, nil
	}
	bundle, err := FetchBundle(ctx, pb.store, object.Body, conf.Bundle{})
	if err != nil {
		return conf.Snapshot{}, err
	}
	return codec.Open(bundle)
}

func conflict(base, current types.Version) error {
	return fault.New(fault.VersionConflict, "the change is based on version %d, the current version is %d", base, current)
}

func (pb *Publisher) readRoot(ctx context.Context) (plat.Object, conf.Root, error) {
	object, err := pb.store.Get(ctx, plat.RootName)
	if fault.Is(err, fault.NotFound) {
		return plat.Object{Name: plat.RootName}, conf.Root{}, nil
	}
	if err != nil {
		return plat.Object{}, conf.Root{}, err
	}
	root, err := codec.ReadRoot(object.Body)
	return object, root, err
}

func (pb *Publisher) prepare(ctx context.Context, root conf.Root, change Change) (conf.Bundle, error) {
	config := change.Config
	if !change.Replace {
		current, err := pb.Read(ctx)
		if err != nil {
			return conf.Bundle{}, err
		}
		config = current.Config().Merge(change.Config, change.Delete)
	}
	if err := conf.Validate(config); err != nil {
		return conf.Bundle{}, err
	}
	next := root.Next(change.ID)
	bundle, err := codec.Seal(next, config)
	if err != nil {
		return conf.Bundle{}, err
	}
	_, err = codec.Open(bundle)
	return bundle, err
}

func (pb *Publisher) writeBodies(ctx context.Context, bundle conf.Bundle, root conf.Root) error {
	stored := map[types.Hash]bool{}
	for _, entry := range root.Entries {
		stored[entry.Hash] = true
	}
	for hash, body := range bundle.Bodies {
		if stored[hash] {
			continue
		}
		object := plat.Object{Name: plat.Name{Kind: plat.BodyKind, Name: string(hash)}, Body: body}
		if _, err := pb.store.Put(ctx, object); err != nil && !fault.Is(err, fault.VersionConflict) {
			return err
		}
	}
	return nil
}

func (pb *Publisher) commit(ctx context.Context, object plat.Object, change Change, version types.Version) (Accepted, error) {
	_, err := pb.store.Put(ctx, object)
	switch {
	case err == nil:
		return Accepted{Version: version}, nil
	case fault.Is(err, fault.VersionConflict), fault.Is(err, fault.PlatformUnavailable):
		return pb.readBack(ctx, change, err)
	default:
		return Accepted{}, err
	}
}

// readBack learns whether a root write whose answer is not known took effect.
func (pb *Publisher) readBack(ctx context.Context, change Change, cause error) (Accepted, error) {
	for range readBackTries {
		_, root, err := pb.readRoot(ctx)
		if err != nil {
			if !pause(ctx, readBackPause) {
				break
			}
			continue
		}
		if version, ok := root.ByChange(change.ID); ok {
			return Accepted{Version: version}, nil
		}
		if root.Version != change.Base {
			return Accepted{}, conflict(change.Base, root.Version)
		}
		return Accepted{}, cause
	}
	return Accepted{}, fault.New(fault.OutcomeUnknown, "the platform did not say whether change %s was accepted: %v", change.ID, cause)
}

func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// FetchBundle reads the bodies that a root names and held does not hold.
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
		object, err := store.Get(ctx, plat.Name{Kind: plat.BodyKind, Name: string(entry.Hash)})
		if fault.Is(err, fault.NotFound) {
			return conf.Bundle{}, fault.New(fault.ConfigRefused, "%s %q: body %s is missing", entry.Key.Kind, entry.Key.Name, entry.Hash)
		}
		if err != nil {
			return conf.Bundle{}, err
		}
		bundle.Bodies[entry.Hash] = object.Body
	}
	return bundle, nil
}
