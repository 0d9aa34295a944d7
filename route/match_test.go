package route_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// configOf parses one route from each line: name, path prefix, host and methods. A
// dash stands for an empty field.
func configOf(lines []string) conf.Config {
	config := conf.Config{Services: []conf.Service{{Name: "s"}}}
	for _, line := range lines {
		fields := strings.Fields(strings.ReplaceAll(line, " -", ""+" \x00"))
		match := conf.Match{PathPrefix: strings.Trim(fields[1], "\x00"), Host: strings.Trim(fields[2], "\x00")}
		if methods := strings.Trim(fields[3], "\x00"); methods != "" {
			match.Methods = types.NewSet(strings.Split(methods, ",")...)
		}
		config.Routes = append(config.Routes, conf.Route{
			Name: types.RouteName(fields[0]), Service: "s", Match: match, Importance: conf.Normal, Deadline: time.Second,
		})
	}
	return config
}

func snapshotOf(tb interface{ Fatal(...any) }, lines []string) conf.Snapshot {
	snapshot, err := conf.NewSnapshot(conf.Root{Version: 1}, "", configOf(lines), conf.Bundle{})
	if err != nil {
		tb.Fatal(err)
	}
	return snapshot
}

func matchAll(table route.Table, input string) string {
	var out strings.Builder
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		found, ok := table.Match(route.Request{Method: fields[0], Host: fields[1], Path: fields[2]})
		if !ok {
			found.Name = "none"
		}
		fmt.Fprintf(&out, "%s -> %s\n", strings.Join(fields, " "), found.Name)
	}
	return out.String()
}

func TestMatch(t *testing.T) {
	var table route.Table
	datadriven.RunTest(t, "testdata/match", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "routes" {
			table = route.NewTable(snapshotOf(t, strings.Split(strings.TrimSpace(d.Input), "\n")))
			return ""
		}
		return matchAll(table, d.Input)
	})
}

// TestMatchEqualsLinearScan compares the result of the table with that of a linear
// scan over all routes, for random routes and requests.
func TestMatchEqualsLinearScan(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{0,2}){0,4}`)
	host := rapid.SampledFrom([]string{"-", "a.example", "b.example"})
	method := rapid.SampledFrom([]string{"-", "GET", "PUT", "GET,PUT"})
	rapid.Check(t, func(t *rapid.T) {
		var lines []string
		for number := range rapid.IntRange(1, 12).Draw(t, "routes") {
			prefix := path.Draw(t, "prefix")
			if prefix == "" {
				prefix = "-"
			}
			line := fmt.Sprintf("r%d %s %s %s", number, prefix, host.Draw(t, "host"), method.Draw(t, "method"))
			if next := append(slices.Clone(lines), line); conf.Validate(configOf(next)) == nil {
				lines = next
			}
		}
		snapshot := snapshotOf(t, lines)
		request := route.Request{Method: "GET", Host: host.Draw(t, "asked"), Path: "/" + path.Draw(t, "path")}
		got, _ := route.NewTable(snapshot).Match(request)
		if want := linearMatch(snapshot, request); got.Name != want {
			t.Fatalf("%v of %v: got %q, want %q", request, lines, got.Name, want)
		}
	})
}

// linearMatch returns the name of the route of highest precedence that matches the
// request, found by ranking all routes.
func linearMatch(snapshot conf.Snapshot, request route.Request) types.RouteName {
	var best conf.Route
	rank := -1
	for _, found := range snapshot.Routes() {
		match := found.Match
		rest, ok := strings.CutPrefix(request.Path, match.PathPrefix)
		ends := rest == "" || rest[0] == '/' || match.PathPrefix == "" || strings.HasSuffix(match.PathPrefix, "/")
		if !ok || !ends || match.Host != "" && match.Host != request.Host {
			continue
		}
		if match.Methods.Len() > 0 && !match.Methods.Has(request.Method) {
			continue
		}
		score := 4*len(match.PathPrefix) + 2*min(1, len(match.Host)) + min(1, match.Methods.Len())
		if score > rank || score == rank && found.Name < best.Name {
			best, rank = found, score
		}
	}
	return best.Name
}
