package codec_test

import (
	"strings"
	"testing"
	_ "time/tzdata"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

func TestReadFile(t *testing.T) {
	datadriven.Walk(t, "testdata/file", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, data *datadriven.TestData) string {
			if _, err := codec.ReadFile("input.yaml", []byte(data.Input)); err != nil {
				return fault.From(err).Error() + "\n"
			}
			return "ok\n"
		})
	})
}

// bundleOf returns a bundle with one resource, which has the given kind, name and
// body.
func bundleOf(kind, name, body string) conf.Bundle {
	hash := codec.HashOf([]byte(body))
	root := `{"version":1,"change-id":"x","packs":["00"],"entries":[{"kind":"` + kind + `","name":"` + name +
		`","hash":"` + string(hash) + `","pack":0}],"recent":[]}`
	return conf.Bundle{RootBody: []byte(root), Bodies: map[types.Hash][]byte{hash: []byte(body)}}
}

func TestOpenRefusesInvalidBundles(t *testing.T) {
	service := bundleOf("service", "a", `{"name":"a"}`)
	entry := strings.Split(string(service.RootBody), `"entries":[`)[1]
	entry, _, _ = strings.Cut(entry, "]")
	withRoot := func(old, replacement string) conf.Bundle {
		root := strings.Replace(string(service.RootBody), old, replacement, 1)
		return conf.Bundle{RootBody: []byte(root), Bodies: service.Bodies}
	}
	wrongHash := conf.Bundle{RootBody: service.RootBody, Bodies: map[types.Hash][]byte{}}
	for hash := range service.Bodies {
		wrongHash.Bodies[hash] = []byte(`{"name":"b"}`)
	}
	tests := []struct {
		name   string
		bundle conf.Bundle
		reason string
	}{
		{"valid", service, ""},
		{"unparsable", conf.Bundle{RootBody: []byte("{")}, "decode root: unexpected EOF"},
		{"empty", conf.Bundle{}, "decode root: EOF"},
		{"over a megabyte", withRoot("{", "{"+strings.Repeat(" ", codec.MaxObjectSize)), "of at most 1048576"},
		{"trailing data", withRoot(`"recent":[]}`, `"recent":[]}{}`), "trailing data"},
		{"unknown field", withRoot(`"recent"`, `"later"`), `unknown field "later"`},
		{"version 0", withRoot(`"version":1`, `"version":0`), "the version is 0"},
		{"negative version", withRoot(`"version":1`, `"version":-1`), "decode root"},
		{"unknown kind", withRoot(`"service"`, `"server"`), `unknown resource kind "server"`},
		{"unknown pack", withRoot(`"pack":0`, `"pack":1`), "names the pack 1 of 1"},
		{"declared twice", withRoot(entry, entry+","+entry), "declared twice"},
		{"missing body", conf.Bundle{RootBody: service.RootBody}, "is missing"},
		{"wrong hash", wrongHash, "body does not have the hash"},
		{"another name", bundleOf("service", "b", `{"name":"a"}`), `the body names "a"`},
		{"another kind", bundleOf("route", "a", `{"name":"a"}`), `service "" is not declared`},
		{"unknown field of a body", bundleOf("service", "a", `{"name":"a","x":1}`), `unknown field "x"`},
		{"dangling route", bundleOf("route", "r", `{"name":"r","service":"gone","match":{},"importance":"low","deadline":"1s"}`), `service "gone" is not declared`},
		{"dangling rule", bundleOf("upstream-rule", "u", `{"name":"u","service":"gone"}`), `service "gone" is not declared`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			snap, err := codec.DecodeBundle(test.bundle)
			is.Equal(err == nil, test.reason == "")
			if err != nil {
				is.True(fault.Is(err, fault.ConfigRefused))
				is.True(strings.Contains(err.Error(), test.reason))
				is.Equal(snap.Version(), types.Version(0))
			}
		})
	}
}
