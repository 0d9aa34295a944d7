// Package demo runs a small mesh in one process and shows what it does: a call
// served, a configuration change reaching all nodes, an upstream leaving and
// the time line.
//
// # Usage
//
//	err := demo.Run(ctx, os.Stdout)
package demo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/api/opsv1/opsv1connect"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

const (
	stepLimit    = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	callCount    = 6
)

//go:embed demo.yaml
var defaultConfig []byte

// Run shows the whole path and returns an error if a step fails.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	show := &show{out: out}
	fl, err := startFleet(ctx)
	if err != nil {
		return err
	}
	steps := []func(context.Context, *fleet) error{show.form, show.apply, show.serve, show.change, show.leave, show.timeline}
	for _, step := range steps {
		stepCtx, stop := context.WithTimeout(ctx, stepLimit)
		err := step(stepCtx, fl)
		stop()
		if err != nil {
			return err
		}
	}
	cancel()
	if err := fl.wait(); err != nil {
		return err
	}
	show.printf("done: a call was served, a change reached every node, an upstream left without a lost call\n")
	return nil
}

type show struct {
	out     io.Writer
	version types.Version
}

func (sh *show) printf(format string, args ...any) { _, _ = fmt.Fprintf(sh.out, format, args...) }

// form waits until every node knows every other one.
func (sh *show) form(ctx context.Context, fl *fleet) error {
	sh.printf("== start %d nodes\n", len(fl.nodes))
	for number, member := range fl.nodes {
		for {
			response, err := fl.operator(number).Status(ctx, connect.NewRequest(&opsv1.StatusRequest{}))
			if err != nil {
				return codec.FaultFromRPC(err)
			}
			if len(response.Msg.GetNodes()) == len(fl.nodes) {
				break
			}
			time.Sleep(pollInterval)
		}
		sh.printf("node %s knows the fleet\n", member.name)
	}
	return nil
}

// apply publishes the embedded configuration through the first node.
func (sh *show) apply(ctx context.Context, fl *fleet) error {
	sh.printf("== apply the configuration at node %s\n", fl.nodes[0].name)
	config, err := codec.ReadFile("demo.yaml", defaultConfig)
	if err != nil {
		return err
	}
	return sh.publish(ctx, fl, config)
}

func (sh *show) publish(ctx context.Context, fl *fleet, config conf.Config) error {
	request := &opsv1.ApplyRequest{
		BaseVersion: uint64(sh.version),
		ChangeId:    uuid.NewString(),
		Config:      codec.ConfigToProto(config),
		Replace:     true,
	}
	response, err := fl.operator(0).Apply(ctx, connect.NewRequest(request))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	sh.version = types.Version(response.Msg.GetVersion())
	return sh.await(ctx, fl)
}

func (sh *show) await(ctx context.Context, fl *fleet) error {
	stream, err := fl.operator(0).Wait(ctx, connect.NewRequest(&opsv1.WaitRequest{Version: uint64(sh.version)}))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if stream.Msg().GetInForce() {
			sh.printf("version %d is in force on %d nodes\n", sh.version, stream.Msg().GetTotal())
			return nil
		}
	}
	return errors.Errorf("version %d did not reach every node", sh.version)
}

// serve calls a node that owns no upstream.
func (sh *show) serve(ctx context.Context, fl *fleet) error {
	entry := fl.nodes[len(fl.nodes)-1]
	sh.printf("== call node %s, which owns no upstream\n", entry.name)
	answers, err := sh.calls(ctx, entry)
	sh.printf("%s", answers)
	return err
}

func (sh *show) calls(ctx context.Context, entry *member) (string, error) {
	var answers strings.Builder
	for number := range callCount {
		answer, err := callUntilServed(ctx, entry, fmt.Sprintf("/status/%d", number))
		if err != nil {
			return answers.String(), err
		}
		answers.WriteString(answer)
	}
	return answers.String(), nil
}

// callUntilServed repeats a call that was not run.
func callUntilServed(ctx context.Context, entry *member, path string) (string, error) {
	for ctx.Err() == nil {
		status, answer, err := call(ctx, entry, path)
		if err != nil {
			return "", err
		}
		if status == http.StatusOK {
			return answer, nil
		}
		if status != http.StatusServiceUnavailable {
			return "", errors.Errorf("%s: status %d: %s", path, status, answer)
		}
		time.Sleep(pollInterval)
	}
	return "", ctx.Err()
}

func call(ctx context.Context, entry *member, path string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(entry.node.CallerAddress())+path, nil)
	if err != nil {
		return 0, "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// change publishes a second version.
func (sh *show) change(ctx context.Context, fl *fleet) error {
	sh.printf("== change the deadline of a route\n")
	config, err := codec.ReadFile("demo.yaml", defaultConfig)
	if err != nil {
		return err
	}
	config.Routes[0].Deadline = time.Second
	return sh.publish(ctx, fl, config)
}

// leave lets one upstream leave and calls again.
func (sh *show) leave(ctx context.Context, fl *fleet) error {
	leaver := fl.nodes[0]
	sh.printf("== the upstream of node %s leaves\n", leaver.name)
	leaver.upstream.leave()
	entry := fl.nodes[len(fl.nodes)-1]
	answers, err := sh.calls(ctx, entry)
	if err != nil {
		return err
	}
	sh.printf("%s", answers)
	return nil
}

// timeline prints the merged events of all nodes.
func (sh *show) timeline(ctx context.Context, fl *fleet) error {
	sh.printf("== the time line of all nodes\n")
	response, err := fl.operator(0).Timeline(ctx, connect.NewRequest(&opsv1.TimelineRequest{}))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	for _, event := range response.Msg.GetEvents() {
		sh.printf("%s\n", codec.FormatEvent(event))
	}
	return nil
}

func (fl *fleet) operator(number int) opsv1connect.OperatorClient {
	return opsv1connect.NewOperatorClient(http.DefaultClient, "http://"+string(fl.nodes[number].node.AdminAddress()))
}
