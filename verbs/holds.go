package verbs

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/codec"
)

type holdsCmd struct {
	adminFlags
	formatFlags
}

// Run prints the requests that the node holds back.
func (c *holdsCmd) Run(out output) error {
	response, err := c.client().Holds(context.Background(), connect.NewRequest(&opsv1.HoldsRequest{}))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	if c.json() {
		return printJSON(out, response.Msg)
	}
	table := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CONTENT\tENDED\tINSTANCES\tUNTIL")
	for _, hold := range response.Msg.GetHolds() {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", hold.GetContent(), hold.GetCrashes(), hold.GetInstances(), hold.GetUntil().AsTime().Format(time.RFC3339))
	}
	return table.Flush()
}

type releaseCmd struct {
	adminFlags
	Content string `arg:"" help:"Content of the request, as holds prints it."`
}

// Run lifts the hold of a request on all nodes.
func (c *releaseCmd) Run(out output) error {
	if _, err := c.client().Release(context.Background(), connect.NewRequest(&opsv1.ReleaseRequest{Content: c.Content})); err != nil {
		return codec.FaultFromRPC(err)
	}
	out.printf("%s is released\n", c.Content)
	return nil
}
