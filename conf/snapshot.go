package conf

import (
	"sequoiamill.example/sequoiamill/types"
)

// Bundle is an encoded root with the encoded bodies of its resources. Nodes fetch
// bundles from the platform and send them to their peers.
type Bundle struct {
	RootBody []byte
	Bodies   map[types.Hash][]byte
}

// Pack is an object on the platform that holds the bodies of many resources. The
// name of the object is the hash of its text.
type Pack struct {
	Hash   types.Hash
	Text   []byte
	Bodies map[types.Hash][]byte
}

// Snapshot is a valid version of the configuration. It is immutable.
type Snapshot struct {
	root     Root
	digest   types.Hash
	bundle   Bundle
	services map[types.ServiceName]Service
	routes   []Route
	rules    map[types.ServiceName][]UpstreamRule
	config   Config
	// teamsByKey and teamsByName map to the index of a team in config.
	teamsByKey  map[types.KeyDigest]int
	teamsByName map[types.TeamName]int
}

// NewSnapshot validates a configuration and returns a snapshot of it. The
// argument digest is the hash of the encoded root.
func NewSnapshot(root Root, digest types.Hash, config Config, bundle Bundle) (Snapshot, error) {
	if err := Validate(config); err != nil {
		return Snapshot{}, err
	}
	return newSnapshot(root, digest, config, bundle), nil
}

// NewAcceptedSnapshot is like NewSnapshot for a configuration that the platform has
// accepted. It does not check the form of names, hosts and paths: a refusal would keep this
// version and all later ones out.
func NewAcceptedSnapshot(root Root, digest types.Hash, config Config, bundle Bundle) (Snapshot, error) {
	if err := check(config, true); err != nil {
		return Snapshot{}, err
	}
	return newSnapshot(root, digest, config, bundle), nil
}

func newSnapshot(root Root, digest types.Hash, config Config, bundle Bundle) Snapshot {
	snap := Snapshot{
		root:     root,
		digest:   digest,
		bundle:   bundle,
		config:   config,
		routes:   config.Routes,
		services: make(map[types.ServiceName]Service, len(config.Services)),
		rules:    make(map[types.ServiceName][]UpstreamRule),
	}
	for _, service := range config.Services {
		snap.services[service.Name] = service
	}
	for _, rule := range config.UpstreamRules {
		snap.rules[rule.Service] = append(snap.rules[rule.Service], rule)
	}
	snap.indexTeams()
	return snap
}

// Version returns the version, which is 0 for the empty snapshot.
func (s Snapshot) Version() types.Version { return s.root.Version }

// Digest returns the hash of the encoded root.
func (s Snapshot) Digest() types.Hash { return s.digest }

// Root returns the root that lists the resources of the snapshot.
func (s Snapshot) Root() Root { return s.root }

// Bundle returns the encoded root and resource bodies of the snapshot.
func (s Snapshot) Bundle() Bundle { return s.bundle }

// Config returns the resources of the snapshot.
func (s Snapshot) Config() Config { return s.config }

// Routes returns all routes in the order of the configuration.
func (s Snapshot) Routes() []Route { return s.routes }

// Limits returns the limits on callers' requests.
func (s Snapshot) Limits() Limits { return s.config.Limits }

// Service returns the service with the given name, or false if the configuration
// does not declare it.
func (s Snapshot) Service(name types.ServiceName) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// HasService reports whether the snapshot declares a service.
func (s Snapshot) HasService(name types.ServiceName) bool {
	_, ok := s.services[name]
	return ok
}

// HasUpstreamRules reports whether the configuration has an upstream rule for a service, in
// any zone.
func (s Snapshot) HasUpstreamRules(service types.ServiceName) bool {
	return len(s.rules[service]) > 0
}

// UpstreamRule returns the upstream rule that applies to a service in a zone, or false if
// there is none.
func (s Snapshot) UpstreamRule(service types.ServiceName, zone types.Zone) (UpstreamRule, bool) {
	for _, rule := range s.rules[service] {
		if rule.Zones.Len() == 0 || rule.Zones.Has(zone) {
			return rule, true
		}
	}
	return UpstreamRule{}, false
}
