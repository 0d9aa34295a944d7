package verbs

import (
	"context"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
)

type checkCmd struct {
	File string `arg:"" help:"Configuration file."`
}

// Run checks a file without publishing it.
func (c *checkCmd) Run(out output) error {
	config, err := readConfig(c.File)
	if err != nil {
		return err
	}
	out.printf("%s: %d services, %d routes, %d upstream rules\n", c.File, len(config.Services), len(config.Routes), len(config.Rules))
	return nil
}

func readConfig(name string) (conf.Config, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return conf.Config{}, fault.Wrap(fault.NotFound, err, "read configuration file")
	}
	config, err := codec.ReadFile(name, text)
	if err != nil {
		return conf.Config{}, err
	}
	return config, conf.Validate(config)
}

type applyCmd struct {
	connection
	File     string        `arg:"" help:"Configuration file."`
	Base     *uint64       `help:"Version that the file was made against; the current one if absent."`
	ChangeID string        `help:"Identifier that makes the change idempotent; a new one if absent."`
	Merge    bool          `help:"Keep the resources that the file does not name."`
	Wait     bool          `help:"Wait until the version is in force everywhere."`
	Limit    time.Duration `help:"Longest time to wait." default:"30s"`
}

// Run publishes a file.
func (c *applyCmd) Run(out output) error {
	config, err := readConfig(c.File)
	if err != nil {
		return err
	}
	ctx := context.Background()
	request := &opsv1.ApplyRequest{ChangeId: c.ChangeID, Config: codec.ConfigToProto(config), Replace: !c.Merge}
	if request.GetChangeId() == "" {
		request.ChangeId = uuid.NewString()
	}
	if request.BaseVersion, err = c.base(ctx); err != nil {
		return err
	}
	response, err := c.client().Apply(ctx, connect.NewRequest(request))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	out.printf("version %d accepted\n", response.Msg.GetVersion())
	if !c.Wait {
		return nil
	}
	return c.wait(ctx, out, response.Msg.GetVersion())
}

func (c *applyCmd) base(ctx context.Context) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	response, err := c.client().Get(ctx, connect.NewRequest(&opsv1.GetRequest{}))
	if err != nil {
		return 0, codec.FaultFromRPC(err)
	}
	return response.Msg.GetVersion(), nil
}

func (c *applyCmd) wait(ctx context.Context, out output, version uint64) error {
	request := &opsv1.WaitRequest{Version: version, Limit: durationpb.New(c.Limit)}
	stream, err := c.client().Wait(ctx, connect.NewRequest(request))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	defer func() { _ = stream.Close() }()
	var last *opsv1.WaitResponse
	for stream.Receive() {
		if next := stream.Msg(); last == nil || next.GetHolding() != last.GetHolding() {
			out.printf("version %d: %d of %d nodes\n", version, next.GetHolding(), next.GetTotal())
		}
		last = stream.Msg()
	}
	if last.GetInForce() {
		out.printf("version %d is in force everywhere\n", version)
		return nil
	}
	return fault.New(fault.DeadlineExceeded, "version %d is not in force on %v", version, last.GetLagging())
}

type getCmd struct {
	connection
}

// Run prints the configuration.
func (c *getCmd) Run(out output) error {
	response, err := c.client().Get(context.Background(), connect.NewRequest(&opsv1.GetRequest{}))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	config, err := codec.ConfigFromProto(response.Msg.GetConfig())
	if err != nil {
		return err
	}
	text, err := codec.WriteFile(config)
	if err != nil {
		return err
	}
	out.printf("# version %d, change-id %s\n%s", response.Msg.GetVersion(), response.Msg.GetChangeId(), text)
	return nil
}
