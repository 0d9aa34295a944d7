// Package types holds the small value types that the other packages share:
// identifiers, sets, optional values and the markers of the reducer's events
// and effects.
//
// # Usage
//
//	zones := types.NewSet[types.Zone]("kolkata", "howrah")
//	zones.Has("kolkata")
//	limit := types.Some(30 * time.Second)
//	value, ok := limit.Get()
package types

// InstanceID names one instance and the node on it.
type InstanceID string

// ProcessID names one process of an upstream.
type ProcessID string

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones.
type Region string

// ServiceName names a service.
type ServiceName string

// RouteName names a route.
type RouteName string

// RuleName names an upstream rule.
type RuleName string

// RequestID identifies one request on every hop.
type RequestID string

// Key is an idempotency key chosen by a caller.
type Key string

// ChangeID identifies one configuration change of an operator.
type ChangeID string

// Version numbers the accepted configurations, starting at 1.
type Version uint64

// Hash is the hexadecimal SHA-256 of a resource body.
type Hash string

// Address is an IP address and port of a listener.
type Address string

// CallID identifies a call at the node that a caller is connected to.
type CallID uint64

// WorkID identifies a piece of work at the node that owns the upstream.
type WorkID uint64

// Event is an input of the reducer.
type Event interface{ Event() }

// Effect is an output of the reducer that a shell carries out.
type Effect interface{ Effect() }
