package verbs

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/api/opsv1/opsv1connect"
	"sequoiamill.example/sequoiamill/codec"
)

type connection struct {
	Admin string `help:"Operator address of any node." default:"127.0.0.1:8082"`
}

func (c *connection) client() opsv1connect.OperatorClient {
	return opsv1connect.NewOperatorClient(http.DefaultClient, "http://"+c.Admin)
}

type statusCmd struct {
	connection
}

// Run prints the fleet.
func (c *statusCmd) Run(out output) error {
	response, err := c.client().Status(context.Background(), connect.NewRequest(&opsv1.StatusRequest{}))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	status := response.Msg
	out.printf("version %d, floor %d, asked %s\n", status.GetVersion(), status.GetFloor(), status.GetInstance())
	if status.GetRefusedRoot() != "" {
		out.printf("refused: %s\n", status.GetRefusedRoot())
	}
	table := tabwriter.NewWriter(out.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INSTANCE\tZONE\tSERVICE\tSTATE\tVERSION\tUPSTREAM")
	for _, node := range status.GetNodes() {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%t\n", node.GetInstance(), node.GetZone(), node.GetService(), node.GetState(), node.GetVersion(), node.GetUpstream())
	}
	return table.Flush()
}

type timelineCmd struct {
	connection
	Request  string        `help:"Only the events of this request."`
	Config   uint64        `help:"Only the events of this configuration version."`
	Instance string        `help:"Only the events on or about this instance."`
	Since    time.Duration `help:"Only the events of this long a past." default:"1h"`
	Limit    uint32        `help:"Greatest number of events, the latest ones." default:"200"`
}

// Run prints the merged events.
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
	for _, event := range response.Msg.GetEvents() {
		out.printf("%s\n", formatEvent(event))
	}
	for _, instance := range response.Msg.GetUnreachable() {
		out.printf("not reached: %s\n", instance)
	}
	return nil
}

func formatEvent(event *opsv1.TimelineEvent) string {
	line := fmt.Sprintf("%s %s %s", event.GetTime().AsTime().Format("15:04:05.000000"), event.GetInstance(), event.GetKind())
	if event.GetVersion() != 0 {
		line += fmt.Sprintf(" version=%d", event.GetVersion())
	}
	if event.GetRequestId() != "" {
		line += " request=" + event.GetRequestId()
	}
	if event.GetSubject() != "" {
		line += " subject=" + event.GetSubject()
	}
	if event.GetDetail() != "" {
		line += fmt.Sprintf(" detail=%q", event.GetDetail())
	}
	return line
}

type versionCmd struct{}

// Run prints the version of the program.
func (c *versionCmd) Run(out output) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	out.printf("sequoiamill %s\n", version)
	return nil
}
