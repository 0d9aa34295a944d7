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
	// operatorTimeout bounds a call to a node that does not stream.
	operatorTimeout = 10 * time.Second
	// standardInput is the file name that stands for the standard input.
	standardInput = "-"
)

type checkCmd struct {
	File string `arg:"" help:"Configuration file, or - for the standard input."`
}

// Run checks a file without publishing it.
func (c *checkCmd) Run(out output) error {
	config, err := readConfig(c.File)
	if err != nil {
		return err
	}
	if err := conf.Validate(config); err != nil {
		return inFile(c.File, err)
	}
	out.printf("%s: %d services, %d routes, %d upstream rules\n", c.File, len(config.Services), len(config.Routes), len(config.Rules))
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

func inFile(name string, err error) error {
	known := fault.From(err)
	return fault.New(known.Kind, "%s: %s", name, known.Message)
}

type getCmd struct {
	connection
	format
}

// Run prints the configuration.
func (c *getCmd) Run(out output) error {
	response, err := c.get()
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

// get returns the configuration that the platform holds.
func (c *connection) get() (*opsv1.GetResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	response, err := c.client().Get(ctx, connect.NewRequest(&opsv1.GetRequest{}))
	if err != nil {
		return nil, codec.FaultFromRPC(err)
	}
	return response.Msg, nil
}
