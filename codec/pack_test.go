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

// TestPackKeepsUnchangedBodies publishes many changes of one route.
func TestPackKeepsUnchangedBodies(t *testing.T) {
	is := is.New(t)
	const routes, versions, mostPacks = 400, 40, 16
	var root conf.Root
	for version := range versions {
		sealed, err := codec.Seal(root.Next("", "", nil, time.Time{}), configWith(routes, time.Duration(version+1)*time.Second))
		is.NoErr(err)
		bundle, packs, err := codec.Pack(sealed, root)
		is.NoErr(err)
		is.Equal(len(packs), 1) // one write a change
		if version%mostPacks != 0 {
			is.Equal(len(packs[0].Bodies), 1) // only the changed body is written
		}
		root, err = codec.ReadRoot(bundle.RootBody)
		is.NoErr(err)
		is.True(root.Packs().Len() <= mostPacks) // the reads of an empty node are bounded
		snap, err := codec.Open(bundle)
		is.NoErr(err)
		is.Equal(len(snap.Routes()), routes)
	}
}

func TestReadPackRefusesWhatIsNotItsHash(t *testing.T) {
	is := is.New(t)
	_, err := codec.ReadPack([]byte(`{"bodies":{}}`), "00")
	is.True(err != nil)
	text := []byte(`{"bodies":{},"more":1}`)
	_, err = codec.ReadPack(text, codec.HashOf(text))
	is.True(err != nil)
}
