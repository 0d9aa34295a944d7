// Package route matches requests to routes and balances the load over the
// upstreams of a service.
//
// # Usage
//
//	table := route.NewTable(snapshot)
//	found, ok := table.Match(route.Request{Method: "GET", Path: "/status/7"})
//	balancer := route.NewBalancer(route.Adaptive(), route.WithSeed(7))
//	target, ok := balancer.Pick(found.Name, candidates, now)
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"sequoiamill.example/sequoiamill/conf"
)

// Request holds the properties of a request that routes match on.
type Request struct {
	Method string
	Host   string
	Path   string
}

// Table finds the route of a request by its path, host and method.
type Table struct {
	prefixes map[string]hosts
	// longest is the length in bytes of the longest prefix.
	longest int
}

// hosts holds the routes of one path prefix by host. The routes that match any
// host are under the empty string.
type hosts map[string][]conf.Route

// NewTable returns a table of the routes in a configuration snapshot.
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
	host := normalizeHost(route.Match.Host)
	byHost[host] = append(byHost[host], route)
}

// compareMethods orders routes with a list of methods first, then by route name.
func compareMethods(a, b conf.Route) int {
	return cmp.Or(
		cmp.Compare(min(b.Match.Methods.Len(), 1), min(a.Match.Methods.Len(), 1)),
		cmp.Compare(a.Name, b.Name),
	)
}

// Match returns the most specific route of a request, or false if none matches.
// A longer path prefix takes precedence, then a route with a host, then one with
// methods. A prefix matches whole path segments only: /status matches /status and
// /status/7, but not /statuses.
func (tb Table) Match(request Request) (conf.Route, bool) {
	host, path := normalizeHost(request.Host), request.Path
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

// lookup returns the route with exactly this path prefix that matches the host and
// the method.
func (tb Table) lookup(prefix, host, method string) (*conf.Route, bool) {
	if len(prefix) > tb.longest {
		return nil, false
	}
	byHost, ok := tb.prefixes[prefix]
	if !ok {
		return nil, false
	}
	if route, ok := firstAllowing(byHost[host], method); ok || host == "" {
		return route, ok
	}
	return firstAllowing(byHost[""], method)
}

// firstAllowing returns the first of the routes that accepts the method.
func firstAllowing(routes []conf.Route, method string) (*conf.Route, bool) {
	for i := range routes {
		methods := routes[i].Match.Methods
		if methods.Len() == 0 || methods.Has(method) {
			return &routes[i], true
		}
	}
	return nil, false
}

// normalizeHost returns a host in lower case, without its port and brackets.
func normalizeHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.Trim(host, "[]"))
}
