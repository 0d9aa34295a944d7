// Package admin implements the operators' RPC service: it publishes configurations,
// reports which nodes hold which version and collects the timeline of all nodes.
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

// Change is a change of the configuration that an operator requests.
type Change struct {
	ID types.ChangeID
	// Base is the version that the operator expects to be the current one.
	Base types.Version
	// Config holds the resources to add or overwrite.
	Config conf.Config
	// Replace, if true, removes every resource that is not in Config.
	Replace bool
	// Delete lists the resources to remove. It must be empty if Replace is true.
	Delete []conf.Key
}

// PublishResult is the result of a change.
type PublishResult struct {
	Version types.Version
	// Repeated is true if the change had already been accepted before.
	Repeated bool
}

// Publisher stores new versions of the configuration in the platform.
type Publisher struct {
	store *plat.Store
	held  func() conf.Bundle
	floor func() types.Version
	now   func() time.Time
	// pause waits for the given time. It returns false if ctx ends first.
	pause func(ctx context.Context, wait time.Duration) bool
}

// Option configures a Publisher.
type Option func(*Publisher)

// WithHeld sets the function that returns the configuration in force on this
// node. Read takes the resource bodies that this configuration contains from
// there and not from the platform. Publish uses the configuration if the
// platform's root can't be decoded, or if packs are missing or damaged.
func WithHeld(held func() conf.Bundle) Option {
	return func(pb *Publisher) { pb.held = held }
}

// WithFloor sets the function that returns the highest version that any node is
// known to hold. New versions are always higher, even if the platform's root has
// returned to an older version.
func WithFloor(floor func() types.Version) Option {
	return func(pb *Publisher) { pb.floor = floor }
}

// WithNow sets the function that returns the current time.
func WithNow(now func() time.Time) Option {
	return func(pb *Publisher) { pb.now = now }
}

// WithPause sets the function that waits between two tries. The function must
// return false if the context ends before the wait is over.
func WithPause(pause func(ctx context.Context, wait time.Duration) bool) Option {
	return func(pb *Publisher) { pb.pause = pause }
}

// NewPublisher returns a Publisher that stores versions in the given store.
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

// platformState is what the platform stores at the start of a change. The packs are
// listed after the root was read.
type platformState struct {
	object plat.Object
	root   conf.Root
	packs  map[types.Hash]plat.Object
}

// Publish stores one new version with the given change, or none if it fails.
// After the error OutcomeUnknown, the version may have been stored.
//
// If a change with the same ID and content was already accepted, Publish returns
// the result of that change, whatever the base version is. This applies only to
// the latest 64 changes, which the root records. An older change counts as new
// and is refused, since its base version is no longer the current one.
func (pb *Publisher) Publish(ctx context.Context, change Change) (PublishResult, error) {
	if change.ID == "" || len(change.ID) > maxChangeID {
		return PublishResult{}, fault.New(fault.InvalidInput, "the change-id must have from 1 to %d characters", maxChangeID)
	}
	content, err := codec.HashChange(change.Config, change.Replace, change.Delete)
	if err != nil {
		return PublishResult{}, err
	}
	object, root, err := pb.baseRoot(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	if accepted, ok, err := findAccepted(root, change.ID, content); ok {
		return accepted, err
	}
	if root.Version != change.Base {
		return PublishResult{}, conflict(change.Base, root.Version)
	}
	before := platformState{object: object, root: root}
	if before.packs, err = pb.listPacks(ctx); err != nil {
		return PublishResult{}, err
	}
	bundle, packs, err := pb.prepare(before, change, content)
	if err != nil {
		return PublishResult{}, err
	}
	if err := pb.writePacks(ctx, before, packs); err != nil {
		return PublishResult{}, err
	}
	accepted, err := pb.commit(ctx, object.WithBody(bundle.RootBody), change, content)
	if err == nil {
		pb.deletePacks(ctx, before, bundle)
	}
	return accepted, err
}

// baseRoot returns the platform's root object and the root on which a change is
// based. If the platform's root can't be decoded, the change is based on the root
// in force on this node. If another node is known to hold a later version,
// baseRoot returns the decoding error instead.
func (pb *Publisher) baseRoot(ctx context.Context) (plat.Object, conf.Root, error) {
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

// findAccepted returns the recorded result of a change and whether the root has a
// record with the change ID. If that record is of a change with other content,
// the error is KeyReused.
func findAccepted(root conf.Root, id types.ChangeID, content types.Hash) (PublishResult, bool, error) {
	known, ok := root.FindChange(id)
	switch {
	case !ok:
		return PublishResult{}, false, nil
	case known.Content != content:
		return PublishResult{}, true, fault.New(fault.KeyReused, "change-id %s made version %d of another content", id, known.Version)
	}
	return PublishResult{Version: known.Version, Repeated: true}, true, nil
}

// conflict returns the error for a change whose base version is not the current one.
func conflict(base, current types.Version) error {
	return fault.New(fault.VersionConflict, "the change is based on version %d, the current version is %d", base, current)
}

// prepare returns the bundle of the next version and the packs to write for it.
// Like a node that receives the bundle, it decodes and validates the bundle.
func (pb *Publisher) prepare(before platformState, change Change, content types.Hash) (conf.Bundle, []conf.Pack, error) {
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
	bundle, err := codec.EncodeBundle(next, config)
	if err != nil {
		return conf.Bundle{}, nil, err
	}
	bundle, packs, err := codec.PackBundle(bundle, before.root.FilterByPacks(before.intact()))
	if err != nil {
		return conf.Bundle{}, nil, err
	}
	_, err = codec.DecodeBundle(bundle)
	return bundle, packs, err
}

// merge returns the current configuration with a change applied.
func (pb *Publisher) merge(before platformState, change Change) (conf.Config, error) {
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

// intact returns the stored packs whose content matches the hash in their names.
func (ps platformState) intact() types.Set[types.Hash] {
	var hashes []types.Hash
	for hash, object := range ps.packs {
		if codec.HashOf(object.Body) == hash {
			hashes = append(hashes, hash)
		}
	}
	return types.NewSet(hashes...)
}

// open decodes the version that the platform stores. If a pack is missing or
// damaged, open takes its bodies from held.
func (ps platformState) open(held conf.Bundle) (conf.Snapshot, error) {
	bundle := conf.Bundle{RootBody: ps.object.Body, Bodies: map[types.Hash][]byte{}}
	for _, hash := range ps.root.Packs().Sorted() {
		if pack, err := codec.ReadPack(ps.packs[hash].Body, hash); err == nil {
			maps.Copy(bundle.Bodies, pack.Bodies)
		}
	}
	return codec.DecodeBundle(codec.FillBundle(bundle, held))
}
