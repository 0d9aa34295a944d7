// Package route chooses the route of a request and the upstream of an attempt.
//
// # Usage
//
//	table := route.NewTable(snapshot)
//	found, ok := table.Match(route.Request{Method: "GET", Path: "/status/7"})
//	balance := route.NewBalance(route.Adaptive(), route.WithSeed(7))
//	target, ok := balance.Pick(found.Name, candidates, now)
package route

import (
	"cmp"
	"net"
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
	prefixes map[string]hosts
	// longest is the length of the longest prefix.
	longest int
}

// hosts holds the routes of one path prefix by host; the routes for any host
// are under the empty one.
type hosts map[string][]conf.Route

// NewTable returns the table of a snapshot.
func NewTable(snapshot conf.Snapshot) Table {
	tb := Table{prefixes: map[string]hosts{}}
	for _, route := range snapshot.Routes() {
		tb.add(route)
	}
	for _, byHost := range tb.prefixes {
		for _, routes := range byHost {
			slices.SortFunc(routes, compareMethods)
		}
	}
	return tb
}

func (tb *Table) add(route conf.Route) {
	prefix := route.Match.PathPrefix
	tb.longest = max(tb.longest, len(prefix))
	byHost, ok := tb.prefixes[prefix]
	if !ok {
		byHost = hosts{}
		tb.prefixes[prefix] = byHost
	}
	host := bareHost(route.Match.Host)
	byHost[host] = append(byHost[host], route)
}

// compareMethods orders routes that name methods first, then by name.
func compareMethods(a, b conf.Route) int {
	return cmp.Or(
		cmp.Compare(min(b.Match.Methods.Len(), 1), min(a.Match.Methods.Len(), 1)),
		cmp.Compare(a.Name, b.Name),
	)
}

// Match returns the most specific route of a request: the longest path
// prefix, then a named host, then a named method. A prefix ends at the end of
// the path, at a slash or with a slash of its own.
func (tb Table) Match(request Request) (conf.Route, bool) {
	host, path := bareHost(request.Host), request.Path
	if route, ok := tb.lookup(path, host, request.Method); ok {
		return *route, true
	}
	for end := min(len(path), tb.longest+1) - 1; end >= 0; end-- {
		if path[end] != '/' {
			continue
		}
		if route, ok := tb.lookup(path[:end+1], host, request.Method); ok {
			return *route, true
		}
		if route, ok := tb.lookup(path[:end], host, request.Method); ok {
			return *route, true
		}
	}
	if route, ok := tb.lookup("", host, request.Method); ok {
		return *route, true
	}
	return conf.Route{}, false
}

func (tb Table) lookup(prefix, host, method string) (*conf.Route, bool) {
	if len(prefix) > tb.longest {
		return nil, false
	}
	byHost, ok := tb.prefixes[prefix]
	if !ok {
		return nil, false
	}
	if route, ok := allowing(byHost[host], method); ok || host == "" {
		return route, ok
	}
	return allowing(byHost[""], method)
}

func allowing(routes []conf.Route, method string) (*conf.Route, bool) {
	for at := range routes {
		methods := routes[at].Match.Methods
		if methods.Len() == 0 || methods.Has(method) {
			return &routes[at], true
		}
	}
	return nil, false
}

// bareHost returns a host in lower case and without its port.
func bareHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.Trim(host, "[]"))
}
