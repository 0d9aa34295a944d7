// Package plat defines access to the object API of the platform, which stores the
// configuration and the records of the nodes. It has an HTTP client for the API and
// an implementation in memory.
//
// # Usage
//
//	store := plat.NewHTTPStore("http://127.0.0.1:8001", plat.WithNamespace("mesh"))
//	object, err := store.Get(ctx, plat.RootName)
//	object, err = store.Put(ctx, object.WithBody(body))
package plat

import (
	"context"

	"sequoiamill.example/sequoiamill/fault"
)

// Kind is the kind of a stored object.
type Kind string

// The kinds of stored objects: the root of the configuration, packs of resource
// bodies that the root refers to, and records of nodes.
const (
	RootKind   Kind = "configroots"
	BodyKind   Kind = "configbodies"
	RecordKind Kind = "noderecords"
)

// Name identifies an object.
type Name struct {
	Kind Kind
	Name string
}

// RootName is the name of the only root object. It stores the current version of the
// configuration and the hashes of its resources.
var RootName = Name{Kind: RootKind, Name: "root"}

// Revision is the platform's opaque version of an object. It is empty if the object
// does not exist yet.
type Revision string

// Object is an object that the platform stores.
type Object struct {
	Name     Name
	Revision Revision
	Body     []byte
	// Status is what the system has written of an object that others own, and Created is
	// what the platform states of the object's creation. Both are empty on platforms and in
	// objects without them.
	Status  []byte
	Created string
	// Err says why the object could not be read, or is nil. The other fields are then as
	// far as they could be read, and Body is empty. It is of kind fault.InvalidInput.
	Err *fault.Error
}

// WithError returns a copy of the object that could not be read.
func (o Object) WithError(err error) Object {
	o.Body = nil
	o.Err = fault.From(fault.Wrap(fault.InvalidInput, err, "read an object of kind "+string(o.Name.Kind)))
	return o
}

// WithBody returns a copy of the object with the given body.
func (o Object) WithBody(body []byte) Object {
	o.Body = body
	return o
}

// Store holds the operations of the platform's object API. Their errors are of the
// kinds NotFound, VersionConflict, TooLarge, InvalidInput, Expired and
// PlatformUnavailable. A write that fails with PlatformUnavailable may have taken
// effect if the outcome of the error is Unknown.
type Store struct {
	// Get reads one object. If that can't be decoded, the error is of kind InvalidInput.
	Get func(ctx context.Context, name Name) (Object, error)
	// GetCached reads one object and lets the platform answer from a cache, which
	// costs the platform less than Get. The object may be seconds out of date.
	GetCached func(ctx context.Context, name Name) (Object, error)
	// List reads all objects of a kind. Those that can't be decoded have an Err.
	List func(ctx context.Context, kind Kind) ([]Object, error)
	// ListCached reads all objects of a kind and lets the platform answer from a
	// cache, which costs the platform less than List. The result may be seconds out
	// of date.
	ListCached func(ctx context.Context, kind Kind) ([]Object, error)
	// Put writes an object if its revision equals that of the stored object, and
	// returns it with its new revision. An object with an empty revision is
	// created and must not exist yet.
	Put func(ctx context.Context, object Object) (Object, error)
	// PutStatus writes the status of an object if its revision equals that of the stored
	// object, and leaves the body as it is. It is nil on platforms whose objects have no
	// status.
	PutStatus func(ctx context.Context, object Object) (Object, error)
	// Delete removes an object if its revision equals that of the stored object.
	Delete func(ctx context.Context, object Object) error
	// Watch calls onChange with the current state of the object, if it exists,
	// and again when the object is created or changed. Watch returns when the
	// context ends or the platform can't be reached. If the platform sends
	// nothing for some time, Watch opens a new connection and continues.
	Watch func(ctx context.Context, name Name, onChange func(Object)) error
	// WatchCached is like Watch, but lets the platform report changes seconds late, which
	// costs it less.
	WatchCached func(ctx context.Context, name Name, onChange func(Object)) error
	// Era returns the platform's era, as far as its replies have stated it.
	Era func() Era
}
