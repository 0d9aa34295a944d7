package verbs

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
)

type applyCmd struct {
	adminFlags
	formatFlags
	File     string        `arg:"" optional:"" help:"Configuration file, or - for the standard input."`
	Base     *uint64       `help:"Configuration version that the change is based on; by default the current one."`
	ChangeID string        `help:"Identifier that makes the change idempotent; by default a new one."`
	Merge    bool          `help:"Keep the resources that the file does not name."`
	Delete   []string      `help:"Resource to remove as kind/name, keeping all others; may be repeated." placeholder:"KIND/NAME"`
	DryRun   bool          `help:"Print what would change and publish nothing."`
	Wait     bool          `help:"Wait until the version is in force everywhere."`
	Limit    time.Duration `help:"Longest time to wait." default:"30s"`
}

// Run publishes a configuration change, or only prints it with --dry-run.
func (c *applyCmd) Run(out output) error {
	config, keys, err := c.readChange()
	if err != nil {
		return err
	}
	if c.DryRun {
		return c.printDiff(out, config, keys)
	}
	request := &opsv1.ApplyRequest{ChangeId: c.ChangeID, Config: codec.ConfigToProto(config), Replace: !c.Merge}
	for _, key := range keys {
		request.Delete = append(request.Delete, &opsv1.ResourceKey{Kind: key.Kind.String(), Name: key.Name})
	}
	if request.GetChangeId() == "" {
		request.ChangeId = uuid.NewString()
	}
	if request.BaseVersion, err = c.baseVersion(); err != nil {
		return err
	}
	response, err := c.apply(request)
	if err != nil {
		return err
	}
	if c.json() {
		err = printJSON(out, response)
	} else {
		out.printf("version %d accepted\n", response.GetVersion())
	}
	if err != nil || !c.Wait {
		return err
	}
	return c.waitInForce(out, response.GetVersion())
}

// readChange returns the resources to write and the keys of those to delete. A
// file that replaces the whole configuration is validated here, before any node
// is contacted.
func (c *applyCmd) readChange() (conf.Config, []conf.Key, error) {
	var keys []conf.Key
	for _, text := range c.Delete {
		kindName, name, _ := strings.Cut(text, "/")
		kind, ok := conf.ParseResourceKind(kindName)
		if !ok || name == "" {
			return conf.Config{}, nil, fault.New(fault.InvalidInput, "%q is not of the form kind/name", text)
		}
		keys = append(keys, conf.Key{Kind: kind, Name: name})
	}
	c.Merge = c.Merge || len(keys) > 0
	if c.File == "" {
		if len(keys) == 0 {
			return conf.Config{}, nil, fault.New(fault.InvalidInput, "neither a file nor a resource to delete is given")
		}
		return conf.Config{}, keys, nil
	}
	config, err := readConfig(c.File)
	if err != nil || c.Merge {
		return config, keys, err
	}
	if err := conf.Validate(config); err != nil {
		return conf.Config{}, nil, withFileName(c.File, err)
	}
	return config, keys, nil
}

// apply sends the change to the node. If it is unknown whether the change was
// published, the error names the change ID with which the operator can repeat the
// command safely.
func (c *applyCmd) apply(request *opsv1.ApplyRequest) (*opsv1.ApplyResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	response, err := c.client().Apply(ctx, connect.NewRequest(request))
	if err == nil {
		return response.Msg, nil
	}
	faultErr := *codec.FaultFromRPC(err)
	if faultErr.Kind == fault.Unreachable || faultErr.Kind == fault.OutcomeUnknown {
		faultErr.Message += "; to learn the outcome, repeat with --change-id " + request.GetChangeId()
	}
	return nil, &faultErr
}

func (c *applyCmd) baseVersion() (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	response, err := c.getConfig()
	return response.GetVersion(), err
}

// printDiff prints the differences between the configuration stored on the platform
// and the one that would result from the change.
func (c *applyCmd) printDiff(out output, config conf.Config, keys []conf.Key) error {
	response, err := c.getConfig()
	if err != nil {
		return err
	}
	current, err := codec.ConfigFromProto(response.GetConfig())
	if err != nil {
		return err
	}
	if c.Merge {
		config = current.Merge(config, keys)
	}
	if err := conf.Validate(config); err != nil {
		return err
	}
	differences, err := codec.Diff(current, config)
	if err != nil {
		return err
	}
	out.printf("version %d: %d differences\n", response.GetVersion(), len(differences))
	for _, difference := range differences {
		out.printf("%s %s/%s\n", difference.Kind, difference.Key.Kind, difference.Key.Name)
	}
	return nil
}

// waitInForce waits until every live node holds the version or a later one, and
// prints the progress. It returns an error if some nodes hold an older version when
// the time limit c.Limit expires.
func (c *applyCmd) waitInForce(out output, version uint64) error {
	request := &opsv1.WaitRequest{Version: version, Limit: durationpb.New(c.Limit)}
	stream, err := c.client().Wait(context.Background(), connect.NewRequest(request))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	defer func() { _ = stream.Close() }()
	var last *opsv1.WaitResponse
	for stream.Receive() {
		next := stream.Msg()
		if !c.json() && (last == nil || next.GetHolding() != last.GetHolding()) {
			out.printf("version %d: %d of %d nodes\n", version, next.GetHolding(), next.GetTotal())
		}
		last = next
	}
	if !last.GetInForce() {
		return fault.New(fault.DeadlineExceeded, "version %d is not in force on %v", version, last.GetLagging())
	}
	if !c.json() {
		out.printf("version %d is in force everywhere\n", version)
	}
	return nil
}
