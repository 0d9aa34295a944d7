package codec_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

// configWith returns a configuration with a number of routes, the first of which has
// the given deadline.
func configWith(routes int, deadline time.Duration) conf.Config {
	config := conf.Config{Services: []conf.Service{{Name: "intake"}}}
	for number := range routes {
		config.Routes = append(config.Routes, conf.Route{
			Name:       types.RouteName(fmt.Sprintf("route-%d", number)),
			Service:    "intake",
			Match:      conf.Match{PathPrefix: fmt.Sprintf("/%d", number)},
			Importance: conf.Normal,
			Deadline:   time.Second,
		})
	}
	config.Routes[0].Deadline = deadline
	return config
}

// TestPackKeepsUnchangedBodies publishes many versions, each of which changes one
// route. Each version must add one pack. That pack must hold only the changed
// body, except when the limit of packs is reached and all bodies move to a new
// pack. The number of packs that a root refers to must stay limited.
func TestPackKeepsUnchangedBodies(t *testing.T) {
	is := is.New(t)
	const routes, versions, maxPacks = 400, 40, 16
	var root conf.Root
	for version := range versions {
		sealed, err := codec.EncodeBundle(root.Next("", "", nil, time.Time{}), configWith(routes, time.Duration(version+1)*time.Second))
		is.NoErr(err)
		bundle, packs, err := codec.PackBundle(sealed, root)
		is.NoErr(err)
		is.Equal(len(packs), 1) // each change writes one pack
		if version%maxPacks != 0 {
			is.Equal(len(packs[0].Bodies), 1) // the pack holds only the changed body
		}
		root, err = codec.ReadRoot(bundle.RootBody)
		is.NoErr(err)
		is.True(root.Packs().Len() <= maxPacks) // an empty node needs at most maxPacks reads
		snap, err := codec.DecodeBundle(bundle)
		is.NoErr(err)
		is.Equal(len(snap.Routes()), routes)
	}
}

func TestReadPackRefusesInvalidPacks(t *testing.T) {
	is := is.New(t)
	_, err := codec.ReadPack([]byte(`{"bodies":{}}`), "00")
	is.True(err != nil)
	text := []byte(`{"bodies":{},"more":1}`)
	_, err = codec.ReadPack(text, codec.HashOf(text))
	is.True(err != nil)
}
