// Package node assembles one node: the reducer, its shells and its listeners.
//
// # Usage
//
//	nd, err := node.New(settings, store, node.WithLogger(logger))
//	err = nd.Run(ctx)
package node

import (
	"net"
	"strings"
	"time"

	"sequoiamill.example/sequoiamill/certs"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/types"
)

// Settings are what a node is told at its start.
type Settings struct {
	Instance types.InstanceID
	Zone     types.Zone
	Region   types.Region
	// Listen takes callers, PeerListen other nodes and AdminListen operators,
	// scrapes and the announcements of the local upstream.
	Listen      types.Address
	PeerListen  types.Address
	AdminListen types.Address
	// Advertise is the peer address that other nodes are told; empty means
	// the address of the peer listener.
	Advertise types.Address
	// Peers are addresses of nodes to join by when the platform is down.
	Peers []types.Address
	// MaxBody bounds the body of a call and of an answer in bytes.
	MaxBody int64
	// StopLinger is how long a stopping node goes on refusing work, so that
	// no peer still sends to it when it is gone.
	StopLinger time.Duration
	// StopLimit bounds a graceful stop.
	StopLimit time.Duration
	// Keys bound the ages of idempotency keys.
	Keys     flow.KeyLimits
	Seed     uint64
	Policies core.Policies
	// Spread is the time over which the nodes of a fleet that start together
	// spread their first reads and writes, and FetchDelay how long each waits
	// for peers before it reads a configuration from the platform.
	Spread     time.Duration
	FetchDelay time.Duration
	// Poll is the time between a delegate's reads of the platform's current
	// version, beside its watch, which may be late; 0 means none.
	Poll time.Duration
	// PlainText names the sides that are served without TLS.
	PlainText types.Set[Side]
	// Certs is the material for all other sides.
	Certs *certs.Keeper
}

// Validate returns one error that names each fault of the settings.
func (s Settings) Validate() error {
	var faults []string
	if s.Instance == "" {
		faults = append(faults, "instance is missing")
	}
	if s.Zone == "" {
		faults = append(faults, "zone is missing")
	}
	faults = append(faults, addressFaults("listen", s.Listen)...)
	faults = append(faults, addressFaults("peer-listen", s.PeerListen)...)
	faults = append(faults, addressFaults("admin-listen", s.AdminListen)...)
	if s.Advertise != "" {
		faults = append(faults, addressFaults("advertise", s.Advertise)...)
	}
	for _, peer := range s.Peers {
		faults = append(faults, addressFaults("peer", peer)...)
	}
	if s.MaxBody <= 0 {
		faults = append(faults, "max-body must be above 0")
	}
	if s.StopLinger < 0 || s.StopLimit <= s.StopLinger {
		faults = append(faults, "stop-limit must be above stop-linger, and that not below 0")
	}
	if s.Keys.Margin < 0 {
		faults = append(faults, "key-margin must not be below 0")
	}
	if s.Keys.Retention <= s.Keys.Margin {
		faults = append(faults, "key-retention must be above key-margin")
	}
	faults = append(faults, s.secureFaults()...)
	if err := s.Policies.Validate(); err != nil {
		faults = append(faults, fault.From(err).Message)
	}
	if len(faults) == 0 {
		return nil
	}
	return fault.New(fault.InvalidInput, "settings: %s", strings.Join(faults, "; "))
}

func addressFaults(name string, address types.Address) []string {
	host, port, err := net.SplitHostPort(string(address))
	if err != nil || port == "" || host != "" && net.ParseIP(host) == nil {
		return []string{name + " " + string(address) + " is not an IP address and port"}
	}
	return nil
}
