package codec_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/api/peerv1"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

// fataler is the method of testing.T and rapid.T that the helpers use.
type fataler interface{ Fatalf(string, ...any) }

func requireNoError(t fataler, err error) {
	if err != nil {
		t.Fatalf("%v", err)
	}
}

// requireEqual fails the test unless two configurations have the same resources, in
// any order.
func requireEqual(t fataler, a, b conf.Config) {
	before, err := codec.HashChange(a, true, nil)
	requireNoError(t, err)
	after, err := codec.HashChange(b, true, nil)
	requireNoError(t, err)
	if before != after {
		t.Fatalf("%+v became %+v", a, b)
	}
}

// roundTrip encodes a valid configuration in each of the encoded forms, decodes
// it again and checks that the result equals the original.
func roundTrip(t fataler, config conf.Config) {
	text, err := codec.WriteFile(config)
	requireNoError(t, err)
	read, err := codec.ReadFile("written.yaml", text)
	requireNoError(t, err)
	requireEqual(t, config, read)
	read, err = codec.ConfigFromProto(codec.ConfigToProto(config))
	requireNoError(t, err)
	requireEqual(t, config, read)
	bundle, err := codec.EncodeBundle(conf.Root{Version: 1}, config)
	requireNoError(t, err)
	bundle, _, err = codec.PackBundle(bundle, conf.Root{})
	requireNoError(t, err)
	snap, err := codec.DecodeBundle(bundle)
	requireNoError(t, err)
	requireEqual(t, config, snap.Config())
}

// drawConfig returns a random valid configuration.
func drawConfig(t *rapid.T) conf.Config {
	name := rapid.StringMatching(`[a-z0-9]([a-z0-9-]{0,5}[a-z0-9])?`)
	names := rapid.SliceOfNDistinct(name, 1, 4, rapid.ID[string]).Draw(t, "names")
	duration := rapid.Map(rapid.Int64Range(1, int64(10*time.Minute)), func(n int64) time.Duration { return time.Duration(n) })
	location, err := time.LoadLocation("Asia/Colombo")
	requireNoError(t, err)
	var config conf.Config
	for _, text := range names {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		service := types.ServiceName(text)
		config.Services = append(config.Services, conf.Service{Name: service})
		config.Routes = append(config.Routes, conf.Route{
			Name:    types.RouteName(text),
			Service: service,
			Match: conf.Match{
				Host:       rapid.SampledFrom([]string{"", "ghat.example"}).Draw(t, "host"),
				PathPrefix: "/" + text,
				Methods:    types.NewSet(rapid.SliceOf(rapid.SampledFrom([]string{"GET", "PUT"})).Draw(t, "methods")...),
			},
			Idempotent: idempotent,
			Hedge:      idempotent && rapid.Bool().Draw(t, "hedge"),
			Importance: conf.Importance(rapid.IntRange(int(conf.Low), int(conf.Critical)).Draw(t, "importance")),
			Deadline:   duration.Draw(t, "deadline"),
		})
		rule := conf.UpstreamRule{
			Name:        types.RuleName(text),
			Service:     service,
			Zones:       types.NewSet(types.Zone(name.Draw(t, "zone"))),
			MaxSlots:    rapid.IntRange(0, 100_000).Draw(t, "slots"),
			WarmUp:      duration.Draw(t, "warm-up"),
			RequireEcho: rapid.Bool().Draw(t, "echo"),
		}
		if rapid.Bool().Draw(t, "hours") {
			minute := rapid.IntRange(0, 1439).Draw(t, "minute")
			span := conf.Span{Days: []time.Weekday{time.Sunday}, From: conf.TimeOfDay(time.Duration(minute) * time.Minute), To: conf.TimeOfDay(24 * time.Hour)}
			rule.Hours = types.Some(conf.Hours{TimeZone: "Asia/Colombo", Location: location, Spans: []conf.Span{span}})
		}
		config.UpstreamRules = append(config.UpstreamRules, rule)
	}
	return config
}

func TestConfigRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { roundTrip(t, drawConfig(t)) })
}

func FuzzReadFile(f *testing.F) {
	for _, name := range []string{"board", "weerasinghe"} {
		text, err := os.ReadFile("../examples/" + name + ".yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte("services: &a [*a]"))
	f.Add([]byte("routes: [{match: {methods: [!!binary x]}}]\n---\n? {}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := codec.ReadFile("input.yaml", text)
		if err == nil && conf.Validate(config) == nil {
			roundTrip(t, config)
		}
	})
}

func FuzzReadRoot(f *testing.F) {
	f.Add([]byte(`{"version":1,"change-id":"x","packs":["00"],"entries":[{"kind":"service","name":"a","hash":"1","pack":0}],"recent":[{"change-id":"x","version":1,"content":"2"}],"retired":[{"pack":"3","at-millis":4}],"deleting":["5"]}`))
	f.Add([]byte(`{"version":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		root, err := codec.ReadRoot(body)
		if err != nil {
			return
		}
		bundle, err := codec.EncodeBundle(root, conf.Config{})
		requireNoError(t, err)
		reread, err := codec.ReadRoot(bundle.RootBody)
		requireNoError(t, err)
		if reread.Version != root.Version || len(reread.RecentChanges) != len(root.RecentChanges) || len(reread.RetiredPacks) != len(root.RetiredPacks) {
			t.Fatalf("%+v became %+v", root, reread)
		}
	})
}

func FuzzOpen(f *testing.F) {
	for _, bundle := range []conf.Bundle{bundleOf("service", "a", `{"name":"a"}`), bundleOf("route", "r", `{}`), bundleOf("upstream-rule", "u", `{"hours":{}}`)} {
		for _, body := range bundle.Bodies {
			f.Add(bundle.RootBody, body)
		}
	}
	f.Fuzz(func(t *testing.T, rootBody, body []byte) {
		hash := codec.HashOf(body)
		text, err := json.Marshal(map[string]map[string][]byte{"bodies": {string(hash): body}})
		requireNoError(t, err)
		_, err = codec.ReadPack(text, codec.HashOf(text))
		requireNoError(t, err)
		_, _ = codec.ReadPack(body, hash)
		snap, err := codec.DecodeBundle(conf.Bundle{RootBody: rootBody, Bodies: map[types.Hash][]byte{hash: body}})
		if err == nil {
			roundTrip(t, snap.Config())
		}
	})
}

func FuzzConfigFromProto(f *testing.F) {
	for _, wire := range []*opsv1.Config{
		{Services: []*opsv1.Service{nil, {Name: "a"}}, Routes: []*opsv1.Route{nil, {Name: "r", Service: "a", Deadline: &durationpb.Duration{Seconds: 1 << 62, Nanos: -5}}}},
		{UpstreamRules: []*opsv1.UpstreamRule{nil, {Hours: &opsv1.Hours{Spans: []*opsv1.Span{nil, {From: "09:00", To: "24:00"}}}}}},
	} {
		text, err := proto.Marshal(wire)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var wire opsv1.Config
		if proto.Unmarshal(text, &wire) != nil {
			return
		}
		config, err := codec.ConfigFromProto(&wire)
		if err == nil && conf.Validate(config) == nil {
			roundTrip(t, config)
		}
	})
}

func FuzzMessageFromProto(f *testing.F) {
	text, err := proto.Marshal(&peerv1.Message{From: "a", Version: 3, Members: []*peerv1.Member{
		{Instance: "b", State: 1, Upstream: &peerv1.Upstream{Slots: 1, WarmUpMillis: 1 << 44, ReadyAtMillis: -1}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var wire peerv1.Message
		if proto.Unmarshal(text, &wire) != nil {
			return
		}
		message, stamp, err := codec.MessageFromProto(&wire)
		if err != nil {
			return
		}
		for _, member := range message.Members {
			if upstream, ok := member.Upstream.Get(); ok && upstream.WarmUp < 0 {
				t.Fatalf("warm-up %s", upstream.WarmUp)
			}
		}
		first := codec.MessageToProto(message, stamp)
		message, stamp, err = codec.MessageFromProto(first)
		requireNoError(t, err)
		if second := codec.MessageToProto(message, stamp); !proto.Equal(first, second) {
			t.Fatalf("%v became %v", first, second)
		}
	})
}
