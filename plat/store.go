// Package plat is the seam to the platform's object API, with a client for
// the published HTTP conventions and an implementation in memory.
//
// # Usage
//
//	store := plat.NewHTTP("http://127.0.0.1:8001", plat.WithNamespace("mesh"))
//	object, err := store.Get(ctx, plat.RootName)
//	object, err = store.Put(ctx, object.WithBody(body))
package plat

import (
	"context"
)

// Kind is the kind of a stored object.
type Kind string

// The kinds of stored objects.
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

// RootName is the name of the one root object.
var RootName = Name{Kind: RootKind, Name: "root"}

// Revision is the platform's opaque version of an object. It is empty for an
// object that does not exist yet.
type Revision string

// Object is a stored value.
type Object struct {
	Name     Name
	Revision Revision
	Body     []byte
}

// WithBody returns a copy with another body.
func (o Object) WithBody(body []byte) Object {
	o.Body = body
	return o
}

// Store is the platform's object API. Errors are of the kinds NotFound,
// VersionConflict, TooLarge, InvalidInput, Expired and PlatformUnavailable. A write
// that ends in PlatformUnavailable may have taken effect if the error's outcome
// is Unknown.
type Store struct {
	// Get reads one object.
	Get func(ctx context.Context, name Name) (Object, error)
	// Peek reads one object at a lower price. The answer may be seconds old.
	Peek func(ctx context.Context, name Name) (Object, error)
	// List reads all objects of a kind.
	List func(ctx context.Context, kind Kind) ([]Object, error)
	// Put writes an object if its revision is the current one; an empty
	// revision creates it.
	Put func(ctx context.Context, object Object) (Object, error)
	// Delete removes an object if its revision is the current one.
	Delete func(ctx context.Context, object Object) error
	// Watch calls seen with the object's state now and after each change,
	// until the context ends or the platform can't be reached. A watch that
	// falls silent is opened again.
	Watch func(ctx context.Context, name Name, seen func(Object)) error
}
