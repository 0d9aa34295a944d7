// Package node assembles one node of the mesh: the state machine of package
// core, the proxy, peer, operator and platform code that carries out its
// effects, and the listeners.
//
// # Usage
//
//	nd, err := node.New(settings, store, node.WithLogger(logger))
//	err = nd.Run(ctx)
package node

import (
	"fmt"
	"net"
	"strings"
	"time"

	"sequoiamill.example/sequoiamill/certs"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/types"
)

// Settings are the start-up settings of a node.
type Settings struct {
	Instance types.InstanceID
	Zone     types.Zone
	Region   types.Region
	// Listen is the address for callers, PeerListen the one for other nodes,
	// and AdminListen the one for operators, metrics scrapes, health probes and
	// announcements of the local upstream.
	Listen      types.Address
	PeerListen  types.Address
	AdminListen types.Address
	// Advertise is the address at which other nodes connect to this node. If it
	// is empty, they use the address of the peer listener.
	Advertise types.Address
	// Peers are addresses of other nodes through which this node can join the
	// fleet even while the platform is down.
	Peers []types.Address
	// MaxBody is the maximum size of a request or response body in bytes.
	MaxBody int64
	// BodyMemory is the maximum total size in bytes of the request bodies that the node
	// keeps at the same time. 0 selects proxy.DefaultBodyMemory.
	BodyMemory int64
	// StopLinger is the minimum time that a node keeps running after it has
	// announced that it stops. During that time the node refuses work for its
	// upstream, so that all peers stop sending work to the node before it exits.
	StopLinger time.Duration
	// StopLimit is the maximum duration of a graceful stop.
	StopLimit time.Duration
	// KeyLimits limits the age of idempotency keys.
	KeyLimits flow.KeyLimits
	Seed      uint64
	Policies  core.Policies
	// StartJitter is the upper limit of the random delay before the node's first
	// read and first write of the platform's store. FetchDelay is the average
	// time that a node waits for a peer to send it a configuration before it
	// reads that configuration from the store.
	StartJitter time.Duration
	FetchDelay  time.Duration
	// PollInterval is the average time between two reads of the configuration's
	// root object by a delegate, which is a node that watches that object on
	// behalf of its zone. The reads supplement the watch, whose events may be
	// late. If PollInterval is 0, a delegate only watches.
	PollInterval time.Duration
	// FirstStart is true if the whole fleet starts for the first time. The platform
	// then has no earlier record of this node, and no configuration was in force
	// before.
	FirstStart bool
	// PlainText is the set of kinds of clients that are served without TLS.
	PlainText types.Set[ClientKind]
	// Certs holds the certificates and keys for serving the kinds of clients
	// that are not in PlainText. It may be nil if PlainText has all kinds.
	Certs *certs.Reloader
}

// Validate returns an error that lists all invalid settings, or nil if there
// are none.
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
	if s.BodyMemory != 0 && s.BodyMemory < proxy.MinBodyMemory(s.MaxBody) {
		faults = append(faults, fmt.Sprintf("body-memory must be 0 or at least %d, for one body of max-body bytes", proxy.MinBodyMemory(s.MaxBody)))
	}
	if s.StopLinger < 0 || s.StopLimit <= s.StopLinger {
		faults = append(faults, "stop-limit must be above stop-linger, and that not below 0")
	}
	if s.KeyLimits.Margin < 0 {
		faults = append(faults, "key-margin must not be below 0")
	}
	if s.KeyLimits.Retention <= s.KeyLimits.Margin {
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
