package node

import (
	"context"

	"sequoiamill.example/sequoiamill/admin"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

// Source describes where the node reads accepted configurations: one object in
// the platform's store, whose body names the current version.
type Source struct {
	Name plat.Name
	// Version decodes the version that the object's body names. On failure it
	// returns 0 and an error of kind fault.ConfigRefused.
	Version func(body []byte) (types.Version, error)
	// Fetch returns the bundle that the object's body describes. held is the
	// bundle that the node already has; Fetch reads from the store only what is
	// missing from held.
	Fetch func(ctx context.Context, store *plat.Store, body []byte, held conf.Bundle) (conf.Bundle, error)
	// Decode decodes and validates a bundle. held is the snapshot that the node
	// already has, of which Decode may reuse what has not changed.
	Decode func(bundle conf.Bundle, held conf.Snapshot) (conf.Snapshot, error)
}

// RootSource returns the default source: the root object, which is updated when
// an operator publishes a configuration through any node.
func RootSource() Source {
	return Source{
		Name: plat.RootName,
		Version: func(body []byte) (types.Version, error) {
			root, err := codec.ReadRoot(body)
			return root.Version, err
		},
		Fetch:  admin.FetchBundle,
		Decode: func(bundle conf.Bundle, _ conf.Snapshot) (conf.Snapshot, error) { return codec.DecodeBundle(bundle) },
	}
}
