package node

import (
	"context"

	"sequoiamill.example/sequoiamill/admin"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

// Source is where the accepted configurations come from: one object of the
// platform that names the current version.
type Source struct {
	Name plat.Name
	// Version returns the version that the object's body names, or 0 and an
	// error of the kind ConfigRefused.
	Version func(body []byte) (types.Version, error)
	// Fetch returns the bundle of the object's body. It reads what held lacks.
	Fetch func(ctx context.Context, store *plat.Store, body []byte, held conf.Bundle) (conf.Bundle, error)
	// Open decodes a bundle and validates it.
	Open func(bundle conf.Bundle) (conf.Snapshot, error)
}

// Roots returns the source of the configurations that operators publish at any
// node.
func Roots() Source {
	return Source{
		Name: plat.RootName,
		Version: func(body []byte) (types.Version, error) {
			root, err := codec.ReadRoot(body)
			return root.Version, err
		},
		Fetch: admin.FetchBundle,
		Open:  codec.Open,
	}
}
