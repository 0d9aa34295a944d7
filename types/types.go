// Package types holds the small value types that the other packages share:
// identifiers, sets, optional values, and the interfaces of the events and effects
// of a node's state machine.
//
// # Usage
//
//	zones := types.NewSet[types.Zone]("kolkata", "howrah")
//	zones.Has("kolkata")
//	limit := types.Some(30 * time.Second)
//	value, ok := limit.Get()
package types

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// InstanceID identifies an instance and the node that runs on it.
type InstanceID string

// ProcessID identifies a process of an upstream.
type ProcessID string

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones.
type Region string

// ServiceName names a service.
type ServiceName string

// RouteName names a route.
type RouteName string

// RuleName names an upstream rule, which sets where, when and how much work the
// upstreams of a service accept.
type RuleName string

// RequestID identifies a request. It is the same on all nodes that the request
// passes.
type RequestID string

// Key is an idempotency key chosen by a caller.
type Key string

// ChangeID identifies one configuration change of an operator.
type ChangeID string

// Version is the number of an accepted configuration. The first one is 1; 0 means
// that there is none.
type Version uint64

// Hash is a hexadecimal SHA-256 hash, for example of a resource body.
type Hash string

// Address is an IP address and port of a listener.
type Address string

// CallID identifies a call at its entry node, which is the node that the caller is
// connected to.
type CallID uint64

// WorkID identifies a work item at its owner node, which is the node on the
// upstream's instance. A work item is one attempt at a call as the owner node
// sees it.
type WorkID uint64

// ContentHash identifies a request by what makes it the same one when it comes again:
// its route, method, path, query, caller and body. 0 means that it is not known.
type ContentHash uint64

// WithRoute returns the hash of a request on a route, given that of its other parts. It
// is never 0.
func (h ContentHash) WithRoute(route RouteName) ContentHash {
	const mix = 0x9e3779b97f4a7c15
	return ContentHash(max(xxhash.Sum64String(string(route))+uint64(h)*mix, 1))
}

// WithTeam returns the hash of a request of a team, given that of the request without it.
// Requests of different teams have different hashes. A caller can't choose the hash.
func (h ContentHash) WithTeam(team TeamName) ContentHash {
	if team == "" {
		return h
	}
	sum := sha256.Sum256(binary.LittleEndian.AppendUint64([]byte(team+"\n"), uint64(h)))
	return ContentHash(max(binary.LittleEndian.Uint64(sum[:]), 1))
}

// String returns the hash in hexadecimal.
func (h ContentHash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// ParseContentHash returns the hash that String formatted as text, or false if text is
// none.
func ParseContentHash(text string) (ContentHash, bool) {
	hash, err := strconv.ParseUint(text, 16, 64)
	return ContentHash(hash), err == nil
}

// Event is an input of a node's state machine.
type Event interface{ Event() }

// Effect is an output of a node's state machine: an action that the node performs.
type Effect interface{ Effect() }
