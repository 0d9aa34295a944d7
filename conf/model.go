// Package conf models the configuration of the mesh: services, routes, upstream
// rules and opening hours. It also decides whether a node adopts a version of the
// configuration that it is offered.
//
// The platform stores each version as a root, which lists the resources of the
// version by their hashes, and as packs, which hold the encoded resources. An encoded
// resource is called a body.
//
// # Usage
//
//	snap, err := conf.NewSnapshot(root, digest, config, bundle)
//	active := conf.NewActiveConfig()
//	effects := active.Offer(conf.VersionOffered{Snapshot: snap}, now)
package conf

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Service is a named group of interchangeable upstreams.
type Service struct {
	Name types.ServiceName
	// MaxConnections is the maximum number of connections to each upstream; 0 means
	// no limit.
	MaxConnections int
}

// WeightedService is one service of a traffic split and its weight.
type WeightedService struct {
	Service types.ServiceName
	// Weight sets the fraction of the route's requests that the service gets:
	// Weight divided by the sum of the weights of the split.
	Weight int
}

// Limits holds the maximum sizes and the timeouts of callers' requests. If a
// field is 0, the node's default applies.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Match selects requests. An empty field matches every request.
type Match struct {
	Host       string
	PathPrefix string
	Methods    types.Set[string]
}

// Importance is the priority of a route's requests. Under overload, requests of
// the lowest importance are shed first.
type Importance int

// The importances of a route, in ascending order.
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

// ParseImportance returns the importance with the given name, or false if there is
// none.
func ParseImportance(name string) (Importance, bool) {
	for importance, known := range importanceNames {
		if known == name {
			return importance, true
		}
	}
	return 0, false
}

// Route sends the matching requests to one service, or to several by weight.
type Route struct {
	Name types.RouteName
	// Service is empty if Split is set.
	Service    types.ServiceName
	Split      []WeightedService
	Match      Match
	Idempotent bool
	// Open is true if requests need no key of a team, although there are teams.
	Open       bool
	Importance Importance
	// Deadline limits the time from the arrival of a call to the answer to the
	// caller.
	Deadline time.Duration
	// TargetLatency is the time within which an answer is of full use to the
	// caller. 0 means that the target is the deadline.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of upstreams that one call is sent to; 0
	// means the node's default.
	MaxAttempts int
	// Hedge is true if a slow call may be hedged, that is, sent to a second
	// upstream while the first attempt is still running. It requires an idempotent
	// route.
	Hedge bool
}

// WithService returns a copy of the route that sends all requests to one service.
func (r Route) WithService(name types.ServiceName) Route {
	r.Service, r.Split = name, nil
	return r
}

// Services returns the services that the route may send to.
func (r Route) Services() []types.ServiceName {
	if len(r.Split) == 0 {
		return []types.ServiceName{r.Service}
	}
	names := make([]types.ServiceName, 0, len(r.Split))
	for _, weighted := range r.Split {
		names = append(names, weighted.Service)
	}
	return names
}

// UpstreamRule sets in which zones and at what times the upstreams of a service
// accept work, and how much.
type UpstreamRule struct {
	Name    types.RuleName
	Service types.ServiceName
	// Zones are the availability zones to which the rule applies; empty means all.
	Zones types.Set[types.Zone]
	// Hours are the times at which the upstreams accept work; None means always.
	Hours types.Option[Hours]
	// MaxSlots and MaxConnections cap the numbers of slots and connections that an
	// upstream announces; 0 means no limit.
	MaxSlots       int
	MaxConnections int
	// WarmUp is the period after an upstream becomes ready in which its share of
	// the work grows to the full share.
	WarmUp time.Duration
	// RequireEcho is true if the node refuses an upstream's responses that do not
	// echo the request identifier.
	RequireEcho bool
}
