package codec_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

const teamsFile = `
services: [{name: stock, connections: 12}, {name: depot}]
routes:
  - name: stock
    split: [{service: stock, weight: 9}, {service: depot, weight: 1}]
    importance: high
    deadline: 2s
    aim: 500ms
    attempts: 2
    open: true
teams:
  - {name: ward-7, keys: [a-secret, another], importance: high, rate: 20.5, burst: 5}
  - {name: guests}
limits: {header-bytes: 100, body-bytes: 200, header-timeout: 3s, idle-timeout: 4s}
`

// TestTeamsInEachForm checks that a configuration with teams is the same in the file, in
// the published form and in the operators' interface, and that none of them has a key.
func TestTeamsInEachForm(t *testing.T) {
	is := is.New(t)
	config, err := codec.ReadFile("input.yaml", []byte(teamsFile))
	is.NoErr(err)
	is.Equal(config.Teams[0].Keys, []types.KeyDigest{types.DigestKey("a-secret"), types.DigestKey("another")})
	is.True(!strings.Contains(fmt.Sprintf("%+v", config), types.DigestKey("a-secret").Hex()))

	text, err := codec.WriteFile(config)
	is.NoErr(err)
	is.True(!strings.Contains(string(text), "a-secret"))
	again, err := codec.ReadFile("output.yaml", text)
	is.NoErr(err)
	is.Equal(again, config)

	bundle, err := codec.EncodeBundle(conf.Root{Version: 3}, config)
	is.NoErr(err)
	snapshot, err := codec.DecodeBundle(bundle)
	is.NoErr(err)
	is.Equal(snapshot.Config(), config)
	team, ok := snapshot.TeamOfKey(types.DigestKey("another"))
	is.True(ok)
	is.Equal(team.Name, types.TeamName("ward-7"))

	published, err := codec.ConfigFromProto(codec.ConfigToProto(config))
	is.NoErr(err)
	is.Equal(published, config)
}

// TestRequiredKeysWithoutATeam guards against a configuration that lets everybody in as its
// last team goes: in the file, in the published form, in the operators' interface and after
// a change that removes the team.
func TestRequiredKeysWithoutATeam(t *testing.T) {
	withTeam, err := codec.ReadFile("one.yaml", []byte("teams: [{name: ward-7, keys: [a-secret]}]\n"))
	is.New(t).NoErr(err)
	ward := conf.Key{Kind: conf.TeamKind, Name: "ward-7"}
	for _, test := range []struct {
		name, file string
		remove     []conf.Key
		want       bool
	}{
		{name: "no teams", file: "services: []\n"},
		{name: "teams of nobody", file: "teams:\n"},
		{name: "an empty list of teams", file: "teams: []\n", want: true},
		{name: "stated", file: "require-keys: true\n", want: true},
		{name: "the last team removed", remove: []conf.Key{ward}, want: true},
		{name: "the last team removed, and the resource", remove: []conf.Key{ward, conf.AccessKey}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			config, err := codec.ReadFile("input.yaml", []byte(test.file))
			is.NoErr(err)
			if test.remove != nil {
				config = withTeam.Merge(conf.Config{}, test.remove)
			}
			is.Equal(config.RequiresKeys(), test.want)

			text, err := codec.WriteFile(config)
			is.NoErr(err)
			again, err := codec.ReadFile("output.yaml", text)
			is.NoErr(err)
			is.Equal(again.RequiresKeys(), test.want)

			bundle, err := codec.EncodeBundle(conf.Root{Version: 3}, config)
			is.NoErr(err)
			snapshot, err := codec.DecodeBundle(bundle)
			is.NoErr(err)
			is.Equal(snapshot.RequiresKeys(), test.want)

			published, err := codec.ConfigFromProto(codec.ConfigToProto(config))
			is.NoErr(err)
			is.Equal(published.RequiresKeys(), test.want)
		})
	}
}
