package verbs

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/codec"
)

type rolloutCmd struct {
	Start  rolloutStartCmd  `cmd:"" help:"Order that the work of a service moves to the upstreams of a version."`
	Status rolloutStatusCmd `cmd:"" help:"Print the roll-outs that a node knows."`
	Abort  rolloutAbortCmd  `cmd:"" help:"Withdraw an order; the version gets no more work."`
}

type rolloutStartCmd struct {
	adminFlags
	Service string        `arg:"" help:"Name of the service."`
	Version string        `arg:"" help:"Version of the upstreams that are to get the work."`
	Within  time.Duration `help:"Time within which the roll-out must end." default:"5m"`
}

// Run stores an order.
func (c *rolloutStartCmd) Run(out output) error {
	request := &opsv1.StartRolloutRequest{Service: c.Service, Version: c.Version, Duration: durationpb.New(c.Within)}
	if _, err := c.client().StartRollout(context.Background(), connect.NewRequest(request)); err != nil {
		return codec.FaultFromRPC(err)
	}
	out.printf("%s is to move to version %s within %s\n", c.Service, c.Version, c.Within)
	return nil
}

type rolloutStatusCmd struct {
	adminFlags
	formatFlags
}

// Run prints the roll-outs that the node knows.
func (c *rolloutStatusCmd) Run(out output) error {
	response, err := c.client().Rollouts(context.Background(), connect.NewRequest(&opsv1.RolloutsRequest{}))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	if c.json() {
		return printJSON(out, response.Msg)
	}
	return printRollouts(out.stdout, response.Msg.GetRollouts())
}

// printRollouts prints the roll-outs that the node knows, if there are any. Nodes of earlier
// builds know none.
func (c *statusCmd) printRollouts(out output) error {
	response, err := c.client().Rollouts(context.Background(), connect.NewRequest(&opsv1.RolloutsRequest{}))
	if connect.CodeOf(err) == connect.CodeUnimplemented || err == nil && len(response.Msg.GetRollouts()) == 0 {
		return nil
	}
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	return printRollouts(out.stdout, response.Msg.GetRollouts())
}

func printRollouts(writer io.Writer, rollouts []*opsv1.Rollout) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tVERSION\tSTATE\tPHASE\tDEADLINE\tREASON")
	for _, ro := range rollouts {
		deadline := ro.GetDeadline().AsTime().Format(time.RFC3339)
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", ro.GetService(), ro.GetVersion(), ro.GetState(), ro.GetPhase(), deadline, ro.GetReason())
	}
	return table.Flush()
}

type rolloutAbortCmd struct {
	adminFlags
	Service string `arg:"" help:"Name of the service."`
}

// Run withdraws the order of a service.
func (c *rolloutAbortCmd) Run(out output) error {
	if _, err := c.client().AbortRollout(context.Background(), connect.NewRequest(&opsv1.AbortRolloutRequest{Service: c.Service})); err != nil {
		return codec.FaultFromRPC(err)
	}
	out.printf("the order of %s is withdrawn\n", c.Service)
	return nil
}
