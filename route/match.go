// Package route chooses the route of a request and the upstream of an attempt.
//
// # Usage
//
//	table := route.NewTable(snapshot)
//	found, ok := table.Match(route.Request{Method: "GET", Path: "/status/7"})
//	balance := route.NewBalance(route.PeakEWMA())
//	target, ok := balance.Pick(candidates, now)
package route

import (
	"cmp"
	"slices"
	"strings"

	"sequoiamill.example/sequoiamill/conf"
)

// Request holds what routes match on.
type Request struct {
	Method string
	Host   string
	Path   string
}

// Table finds the route of a request.
type Table struct {
	routes []conf.Route
}

// NewTable returns the table of a snapshot, the most specific routes first.
func NewTable(snapshot conf.Snapshot) Table {
	routes := slices.Clone(snapshot.Routes())
	slices.SortStableFunc(routes, func(a, b conf.Route) int {
		return cmp.Or(
			cmp.Compare(len(b.Match.PathPrefix), len(a.Match.PathPrefix)),
			cmp.Compare(len(b.Match.Host), len(a.Match.Host)),
			cmp.Compare(min(b.Match.Methods.Len(), 1), min(a.Match.Methods.Len(), 1)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return Table{routes: routes}
}

// Match returns the most specific route of a request: the longest path
// prefix, then a named host, then a named method.
func (tb Table) Match(request Request) (conf.Route, bool) {
	for _, route := range tb.routes {
		if matches(route.Match, request) {
			return route, true
		}
	}
	return conf.Route{}, false
}

func matches(match conf.Match, request Request) bool {
	if match.Host != "" && match.Host != request.Host {
		return false
	}
	if match.Methods.Len() > 0 && !match.Methods.Has(request.Method) {
		return false
	}
	return hasPathPrefix(request.Path, match.PathPrefix)
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || prefix == "" || prefix[len(prefix)-1] == '/')
}
