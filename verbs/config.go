package verbs

import (
	"context"
	"io"
	"os"
	"time"

	"connectrpc.com/connect"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
)

const (
	// operatorTimeout is the timeout of a unary call to a node.
	operatorTimeout = 10 * time.Second
	// standardInput is the file name that means standard input.
	standardInput = "-"
)

type checkCmd struct {
	File string `arg:"" help:"Configuration file, or - for the standard input."`
}

// Run validates a configuration file without publishing it.
func (c *checkCmd) Run(out output) error {
	config, err := readConfig(c.File)
	if err != nil {
		return err
	}
	if err := conf.Validate(config); err != nil {
		return withFileName(c.File, err)
	}
	out.printf("%s: %d services, %d routes, %d upstream rules\n", c.File, len(config.Services), len(config.Routes), len(config.UpstreamRules))
	return nil
}

func readConfig(name string) (conf.Config, error) {
	var text []byte
	var err error
	if name == standardInput {
		text, err = io.ReadAll(os.Stdin)
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return conf.Config{}, fault.Wrap(fault.NotFound, err, "read configuration file")
	}
	return codec.ReadFile(name, text)
}

// withFileName returns an error of the same kind whose message starts with the file
// name.
func withFileName(name string, err error) error {
	faultErr := fault.From(err)
	return fault.New(faultErr.Kind, "%s: %s", name, faultErr.Message)
}

type getCmd struct {
	adminFlags
	formatFlags
}

// Run prints the configuration stored on the platform.
func (c *getCmd) Run(out output) error {
	response, err := c.getConfig()
	if err != nil {
		return err
	}
	if c.json() {
		return printJSON(out, response)
	}
	config, err := codec.ConfigFromProto(response.GetConfig())
	if err != nil {
		return err
	}
	text, err := codec.WriteFile(config)
	if err != nil {
		return err
	}
	out.printf("# version %d, change-id %s\n%s", response.GetVersion(), response.GetChangeId(), text)
	return nil
}

// getConfig asks the node for the configuration stored on the platform.
func (c *adminFlags) getConfig() (*opsv1.GetResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	response, err := c.client().Get(ctx, connect.NewRequest(&opsv1.GetRequest{}))
	if err != nil {
		return nil, codec.FaultFromRPC(err)
	}
	return response.Msg, nil
}
