package verbs

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/node"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

type nodeCmd struct {
	tlsFlags
	Instance     string        `help:"Name of this instance." required:""`
	Zone         string        `help:"Availability zone of this instance." required:""`
	Region       string        `help:"Region of this instance." default:"default"`
	Platform     string        `help:"Base URL of the platform's object API." required:""`
	Namespace    string        `help:"Namespace of the objects." default:"default"`
	Listen       string        `help:"Address for callers." default:"127.0.0.1:8080"`
	PeerListen   string        `help:"Address for other nodes." default:"127.0.0.1:8081"`
	AdminListen  string        `help:"Address for operators, metrics scrapes, health probes and announcements of the local upstream." default:"127.0.0.1:8082"`
	Advertise    string        `help:"Peer address that other nodes are given; by default the address of the peer listener."`
	Peer         []string      `help:"Peer address of another node, through which to join while the platform is down; may be repeated."`
	MaxBody      int64         `help:"Maximum size of a request or response body in bytes." default:"8388608"`
	BodyMemory   int64         `help:"Maximum total size in bytes of the request bodies that are kept at the same time; 0 means 256 MiB, or 4 times max-body if that is more." default:"0"`
	StopLinger   time.Duration `help:"Minimum time that a stopping node keeps running and refuses work, so that its peers stop sending work to it." default:"3s"`
	StopLimit    time.Duration `help:"Maximum duration of a graceful stop." default:"30s"`
	KeyMargin    time.Duration `help:"Maximum clock difference between callers and nodes that idempotency keys tolerate." default:"2s"`
	KeyRetention time.Duration `help:"Age above which an idempotency key is answered with outcome-unknown." default:"10m"`
	Seed         uint64        `help:"Seed of the random number generator; 0 means the process ID." default:"0"`
	Balance      string        `help:"Load-balancing policy: adaptive, peak-ewma, least-outstanding, join-idle or round-robin." default:"adaptive"`
	Queue        string        `help:"Admission policy: shed, fifo or none." default:"shed"`
	Spread       string        `help:"Configuration distribution: delegates (a few nodes of each zone watch the platform) or watch (every node does)." default:"delegates"`
	Rollouts     bool          `help:"Allow operators to order that a service's work moves to upstreams of another version."`
	Exposure     float64       `help:"Largest share of a service's requests that a version on trial gets." default:"0.1"`
	Hedge        bool          `help:"Allow hedged requests on the routes that are configured for them." default:"true" negatable:""`
}

func (c *nodeCmd) settings() (node.Settings, error) {
	certificates, err := c.loadCerts()
	if err != nil {
		return node.Settings{}, err
	}
	seed := c.Seed
	if seed == 0 {
		seed = uint64(os.Getpid())
	}
	settings := node.Settings{
		Instance:    types.InstanceID(c.Instance),
		Zone:        types.Zone(c.Zone),
		Region:      types.Region(c.Region),
		Listen:      types.Address(c.Listen),
		PeerListen:  types.Address(c.PeerListen),
		AdminListen: types.Address(c.AdminListen),
		Advertise:   types.Address(c.Advertise),
		MaxBody:     c.MaxBody,
		BodyMemory:  c.BodyMemory,
		StopLinger:  c.StopLinger,
		StopLimit:   c.StopLimit,
		KeyLimits:   flow.KeyLimits{Margin: c.KeyMargin, Retention: c.KeyRetention},
		Seed:        seed,
		StartJitter: node.DefaultStartJitter,
		FetchDelay:  node.DefaultFetchDelay,
		PlainText:   c.plainText(),
		Certs:       certificates,
		Policies: core.Policies{
			Balance: core.BalanceKind(c.Balance),
			Queue:   core.QueueKind(c.Queue),
			Spread:  core.SpreadKind(c.Spread),
			Hedge:   c.Hedge,
		},
	}
	for _, peer := range c.Peer {
		settings.Peers = append(settings.Peers, types.Address(peer))
	}
	return settings, nil
}

// rolloutOptions returns the options of a node that takes orders of roll-outs.
func (c *nodeCmd) rolloutOptions() []node.Option {
	if !c.Rollouts {
		return nil
	}
	bound := canary.DefaultBound()
	bound.Share = c.Exposure
	return []node.Option{node.WithRollouts(bound, node.OwnOrders())}
}

// Run runs a node with the settings of the flags, until the node fails or the
// process gets SIGTERM or SIGINT.
func (c *nodeCmd) Run(out output) error {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(out.stderr))
	logger = log.With(logger, "time", log.DefaultTimestampUTC, "instance", c.Instance)
	store := plat.NewHTTPStore(c.Platform, plat.WithNamespace(c.Namespace))
	settings, err := c.settings()
	if err != nil {
		return err
	}
	nd, err := node.New(settings, store, append(c.rolloutOptions(), node.WithLogger(logger))...)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return nd.Run(ctx)
}
