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
	"maps"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

const maxChangeID = 128

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
	floor func() types.Version
	now   func() time.Time
	// pause waits and reports whether the context still lasts.
	pause func(ctx context.Context, wait time.Duration) bool
}

// Option changes a setting of a publisher.
type Option func(*Publisher)

// WithHeld sets where the publisher finds bodies that need not be read.
func WithHeld(held func() conf.Bundle) Option {
	return func(pb *Publisher) { pb.held = held }
}

// WithFloor sets where the publisher learns the highest version that any node
// holds. New versions are above it, also if the platform's root went back.
func WithFloor(floor func() types.Version) Option {
	return func(pb *Publisher) { pb.floor = floor }
}

// WithNow sets the source of the present time.
func WithNow(now func() time.Time) Option {
	return func(pb *Publisher) { pb.now = now }
}

// WithPause sets how the publisher waits between two tries.
func WithPause(pause func(ctx context.Context, wait time.Duration) bool) Option {
	return func(pb *Publisher) { pb.pause = pause }
}

// NewPublisher returns a publisher to a store.
func NewPublisher(store *plat.Store, opts ...Option) *Publisher {
	pb := &Publisher{
		store: store,
		held:  func() conf.Bundle { return conf.Bundle{} },
		floor: func() types.Version { return 0 },
		now:   time.Now,
		pause: pause,
	}
	for _, opt := range opts {
		opt(pb)
	}
	return pb
}

// stored is what the platform holds at the start of a change. The packs are
// listed after the root was read.
type stored struct {
	object plat.Object
	root   conf.Root
	packs  map[types.Hash]plat.Object
}

// Publish makes one new version of a change or none at all. A change that was
// accepted before gives its first result, whatever its base version is now.
// The platform remembers the latest 64 changes. An older one is a new change,
// and its base version refuses it, since that is no longer the current one.
func (pb *Publisher) Publish(ctx context.Context, change Change) (Accepted, error) {
	if change.ID == "" || len(change.ID) > maxChangeID {
		return Accepted{}, fault.New(fault.InvalidInput, "the change-id must have from 1 to %d characters", maxChangeID)
	}
	content, err := codec.HashChange(change.Config, change.Replace, change.Delete)
	if err != nil {
		return Accepted{}, err
	}
	object, root, err := pb.base(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if accepted, ok, err := repeated(root, change.ID, content); ok {
		return accepted, err
	}
	if root.Version != change.Base {
		return Accepted{}, conflict(change.Base, root.Version)
	}
	before := stored{object: object, root: root}
	if before.packs, err = pb.listPacks(ctx); err != nil {
		return Accepted{}, err
	}
	bundle, packs, err := pb.prepare(before, change, content)
	if err != nil {
		return Accepted{}, err
	}
	if err := pb.writePacks(ctx, before, packs); err != nil {
		return Accepted{}, err
	}
	accepted, err := pb.commit(ctx, object.WithBody(bundle.RootBody), change, content)
	if err == nil {
		pb.deletePacks(ctx, before, bundle)
	}
	return accepted, err
}

// base returns the root that a change is based on. A root that can't be read
// is replaced by the one in force here, if no node holds a later version.
func (pb *Publisher) base(ctx context.Context) (plat.Object, conf.Root, error) {
	object, root, err := pb.readRoot(ctx)
	if !fault.Is(err, fault.ConfigRefused) {
		return object, root, err
	}
	held, heldErr := codec.ReadRoot(pb.held().RootBody)
	if heldErr != nil || held.Version < pb.floor() {
		return object, root, err
	}
	return object, held, nil
}

// repeated returns the first result of a change. A change-id that stands for
// another content is KeyReused.
func repeated(root conf.Root, id types.ChangeID, content types.Hash) (Accepted, bool, error) {
	known, ok := root.ByChange(id)
	switch {
	case !ok:
		return Accepted{}, false, nil
	case known.Content != content:
		return Accepted{}, true, fault.New(fault.KeyReused, "change-id %s made version %d of another content", id, known.Version)
	}
	return Accepted{Version: known.Version, Repeated: true}, true, nil
}

func conflict(base, current types.Version) error {
	return fault.New(fault.VersionConflict, "the change is based on version %d, the current version is %d", base, current)
}

// prepare returns the next version, validated in the form that nodes read, and
// the packs to write for it.
func (pb *Publisher) prepare(before stored, change Change, content types.Hash) (conf.Bundle, []conf.Pack, error) {
	config, err := pb.merge(before, change)
	if err != nil {
		return conf.Bundle{}, nil, err
	}
	if err := conf.Validate(config); err != nil {
		return conf.Bundle{}, nil, err
	}
	newest := before.root
	newest.Version = max(newest.Version, pb.floor())
	next := newest.Next(change.ID, content, slices.Collect(maps.Keys(before.packs)), pb.now())
	bundle, err := codec.Seal(next, config)
	if err != nil {
		return conf.Bundle{}, nil, err
	}
	bundle, packs, err := codec.Pack(bundle, before.root.WithPacks(before.intact()))
	if err != nil {
		return conf.Bundle{}, nil, err
	}
	_, err = codec.Open(bundle)
	return bundle, packs, err
}

func (pb *Publisher) merge(before stored, change Change) (conf.Config, error) {
	if change.Replace {
		if len(change.Delete) > 0 {
			return conf.Config{}, fault.New(fault.InvalidInput, "a change that replaces all resources names none to delete")
		}
		return change.Config, nil
	}
	known := map[conf.Key]bool{}
	for _, entry := range before.root.Entries {
		known[entry.Key] = true
	}
	for _, key := range change.Delete {
		if !known[key] {
			return conf.Config{}, fault.New(fault.NotFound, "%s %q is not in version %d", key.Kind, key.Name, before.root.Version)
		}
	}
	if before.root.Version == 0 {
		return change.Config, nil
	}
	snap, err := before.open(pb.held())
	if err != nil {
		return conf.Config{}, err
	}
	return snap.Config().Merge(change.Config, change.Delete), nil
}

// intact returns the stored packs that have the content that their names say.
func (sd stored) intact() types.Set[types.Hash] {
	var hashes []types.Hash
	for hash, object := range sd.packs {
		if codec.HashOf(object.Body) == hash {
			hashes = append(hashes, hash)
		}
	}
	return types.NewSet(hashes...)
}

// open decodes the version that the platform holds.
func (sd stored) open(held conf.Bundle) (conf.Snapshot, error) {
	bundle := conf.Bundle{RootBody: sd.object.Body, Bodies: map[types.Hash][]byte{}}
	for _, hash := range sd.root.Packs().Sorted() {
		if pack, err := codec.ReadPack(sd.packs[hash].Body, hash); err == nil {
			maps.Copy(bundle.Bodies, pack.Bodies)
		}
	}
	return codec.Open(codec.FillBundle(bundle, held))
}
