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
	held  func() conf.Bundle
}

// Option changes a setting of a publisher.
type Option func(*Publisher)

// WithHeld sets where the publisher finds bodies that need not be read.
func WithHeld(held func() conf.Bundle) Option {
	return func(pb *Publisher) { pb.held = held }
}

// NewPublisher returns a publisher to a store.
func NewPublisher(store *plat.Store, opts ...Option) *Publisher {
	pb := &Publisher{store: store, held: func() conf.Bundle { return conf.Bundle{} }}
	for _, opt := range opts {
		opt(pb)
	}
	return pb
}

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
	bundle, packs, err := pb.prepare(ctx, root, change)
	if err != nil {
		return Accepted{}, err
	}
	if err := pb.writePacks(ctx, packs); err != nil {
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
	bundle, err := FetchBundle(ctx, pb.store, object.Body, pb.held())
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

func (pb *Publisher) prepare(ctx context.Context, root conf.Root, change Change) (conf.Bundle, []conf.Pack, error) {
	config := change.Config
	if !change.Replace {
		current, err := pb.Read(ctx)
		if err != nil {
			return conf.Bundle{}, nil, err
		}
		config = current.Config().Merge(change.Config, change.Delete)
	}
	if err := conf.Validate(config); err != nil {
		return conf.Bundle{}, nil, err
	}
	bundle, err := codec.Seal(root.Next(change.ID), config)
	if err != nil {
		return conf.Bundle{}, nil, err
	}
	bundle, packs, err := codec.Pack(bundle, root)
	if err != nil {
		return conf.Bundle{}, nil, err
	}
	_, err = codec.Open(bundle)
	return bundle, packs, err
}

func (pb *Publisher) writePacks(ctx context.Context, packs []conf.Pack) error {
	for _, pack := range packs {
		object := plat.Object{Name: packName(pack.Hash), Body: pack.Text}
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
