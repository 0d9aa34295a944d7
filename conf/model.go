// Package conf holds the configuration model: services, routes, upstream
// rules, opening hours, the root that lists a version's resources, and the
// decision to adopt a version.
//
// # Usage
//
//	snap, err := conf.NewSnapshot(root, resources)
//	holder := conf.NewHolder()
//	effects := holder.Offer(snap, now)
package conf

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Service is a named group of interchangeable upstreams.
type Service struct {
	Name types.ServiceName
}

// Match selects requests. An empty field matches every request.
type Match struct {
	Host       string
	PathPrefix string
	Methods    types.Set[string]
}

// Importance orders routes for load shedding, lowest shed first.
type Importance int

// The importances of a route.
const (
	Low Importance = iota + 1
	Normal
	High
	Critical
)

var importanceNames = map[Importance]string{Low: "low", Normal: "normal", High: "high", Critical: "critical"}

// String returns the kebab-case name of the importance.
func (im Importance) String() string {
	if name, ok := importanceNames[im]; ok {
		return name
	}
	return "unknown-importance"
}

// ParseImportance returns the importance with the given name.
func ParseImportance(name string) (Importance, bool) {
	for importance, known := range importanceNames {
		if known == name {
			return importance, true
		}
	}
	return 0, false
}

// Route sends the matching requests to one service.
type Route struct {
	Name       types.RouteName
	Service    types.ServiceName
	Match      Match
	Idempotent bool
	Importance Importance
	// Deadline bounds a call from its arrival to its answer.
	Deadline time.Duration
	// Hedge allows a second attempt for a slow idempotent call.
	Hedge bool
}

// UpstreamRule states where and when the upstreams of a service take work.
type UpstreamRule struct {
	Name    types.RuleName
	Service types.ServiceName
	// Zones limits the rule to these availability zones; empty means all.
	Zones types.Set[types.Zone]
	// Hours limits the times of work; absent means always.
	Hours types.Option[Hours]
	// Slots and Connections cap what an upstream announces; 0 means no cap.
	Slots       int
	Connections int
	// WarmUp is the time in which a new upstream's share of work grows.
	WarmUp time.Duration
	// RequireEcho refuses answers that do not echo the request identifier.
	RequireEcho bool
}
