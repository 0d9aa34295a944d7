package verbs

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/api/opsv1/opsv1connect"
	"sequoiamill.example/sequoiamill/codec"
)

// adminFlags holds the flags that state to which node a command connects and with
// which TLS certificates.
type adminFlags struct {
	tlsFlags
	Admin string `help:"Operator address of any node." default:"127.0.0.1:8082"`
}

// formatFlags holds the flag that selects the output format of a command.
type formatFlags struct {
	Output string `help:"Output format: text or json." enum:"text,json" default:"text" short:"o"`
}

func (f formatFlags) json() bool { return f.Output == "json" }

// printJSON prints a protobuf message as JSON with the field names of its .proto
// file.
func printJSON(out output, message proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return errors.WithMessage(err, "encode output")
	}
	out.printf("%s\n", text)
	return nil
}

func (c *adminFlags) client() opsv1connect.OperatorClient {
	return opsv1connect.NewOperatorClient(c.httpClient(), "http://"+c.Admin)
}

type statusCmd struct {
	adminFlags
	formatFlags
}

// Run prints the state and the configuration version of every node.
func (c *statusCmd) Run(out output) error {
	response, err := c.client().Status(context.Background(), connect.NewRequest(&opsv1.StatusRequest{}))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	if c.json() {
		return printJSON(out, response.Msg)
	}
	status := response.Msg
	out.printf("version %d, floor %d, asked %s\n", status.GetVersion(), status.GetFloor(), status.GetInstance())
	if status.GetRefusedRoot() != "" {
		out.printf("refused: %s\n", status.GetRefusedRoot())
	}
	if len(status.GetLateNodes()) > 0 {
		out.printf("late since %s: %s\n", status.GetLateSince().AsTime().Format(time.RFC3339), strings.Join(status.GetLateNodes(), ", "))
	}
	if err := c.printRollouts(out); err != nil {
		return err
	}
	table := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INSTANCE\tZONE\tSERVICE\tSTATE\tVERSION\tUPSTREAM")
	for _, node := range status.GetNodes() {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%t\n", node.GetInstance(), node.GetZone(), node.GetService(), node.GetState(), node.GetVersion(), node.GetUpstream())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return printTeams(out, status)
}

// printTeams prints the limits of teams, with the counts of the node that was asked.
func printTeams(out output, status *opsv1.StatusResponse) error {
	if len(status.GetTeams()) == 0 {
		return nil
	}
	out.printf("limits of teams, with the requests at %s\n", status.GetInstance())
	table := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TEAM\tRATE\tBURST\tPOOL\tSHARE\tTOKENS\tDEMAND\tREFUSING\tLET THROUGH\tNOT RUN\tREFUSED\tUNANSWERED")
	for _, team := range status.GetTeams() {
		_, _ = fmt.Fprintf(table, "%s\t%g\t%g\t%s\t%.3f\t%.1f\t%.1f\t%t\t%d\t%d\t%d\t%d\n", team.GetTeam(), team.GetRate(), team.GetBurst(), team.GetPool(), team.GetShare(),
			team.GetTokens(), team.GetDemand(), team.GetRefusing(), team.GetLetThrough(), team.GetNotRun(), team.GetRefused(), team.GetUnanswered())
	}
	return table.Flush()
}

type timelineCmd struct {
	adminFlags
	formatFlags
	Request  string        `help:"Only the events of this request."`
	Config   uint64        `help:"Only the events of this configuration version."`
	Instance string        `help:"Only the events on or about this instance."`
	Since    time.Duration `help:"Only the events of the most recent period of this length." default:"1h"`
	Limit    uint32        `help:"Maximum number of events; the latest ones are printed." default:"200"`
}

// Run prints the events of all reachable nodes, ordered by their timestamps, and
// the instances of the nodes that were not reached.
func (c *timelineCmd) Run(out output) error {
	request := &opsv1.TimelineRequest{
		RequestId: c.Request,
		Version:   c.Config,
		Instance:  c.Instance,
		Since:     timestamppb.New(time.Now().Add(-c.Since)),
		Limit:     c.Limit,
	}
	response, err := c.client().Timeline(context.Background(), connect.NewRequest(request))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	if c.json() {
		return printJSON(out, response.Msg)
	}
	for _, event := range response.Msg.GetEvents() {
		out.printf("%s\n", codec.FormatEvent(event))
	}
	for _, instance := range response.Msg.GetUnreachable() {
		out.printf("not reached: %s\n", instance)
	}
	return nil
}
