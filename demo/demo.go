// Package demo runs a small mesh in one process and shows served calls, a
// configuration change that reaches all nodes, an upstream that leaves, and the
// timeline of events.
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
	stepTimeout  = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	callCount    = 6
	// teamKey is the key of the team in the configuration.
	teamKey = "demo-key"
)

//go:embed demo.yaml
var defaultConfig []byte

// Run starts the mesh, runs the steps of the demo and prints their results to
// out. It returns an error if a step fails.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rn := &runner{out: out}
	fl, err := startFleet(ctx)
	if err != nil {
		return err
	}
	steps := []func(context.Context, *fleet) error{rn.waitForFleet, rn.applyConfig, rn.callWithoutUpstream, rn.callWithoutKey, rn.changeConfig, rn.leaveUpstream, rn.printTimeline}
	for _, step := range steps {
		stepCtx, stop := context.WithTimeout(ctx, stepTimeout)
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
	rn.printf("done: a call was served, one without a team's key was not, a change reached every node, an upstream left without a lost call\n")
	return nil
}

// runner runs the steps of the demo.
type runner struct {
	out     io.Writer
	version types.Version
}

func (rn *runner) printf(format string, args ...any) { _, _ = fmt.Fprintf(rn.out, format, args...) }

// waitForFleet waits until every node reports all nodes of the fleet in its status.
func (rn *runner) waitForFleet(ctx context.Context, fl *fleet) error {
	rn.printf("== start %d nodes\n", len(fl.nodes))
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
		rn.printf("node %s knows the fleet\n", member.name)
	}
	return nil
}

// applyConfig publishes the embedded configuration through the first node.
func (rn *runner) applyConfig(ctx context.Context, fl *fleet) error {
	rn.printf("== apply the configuration at node %s\n", fl.nodes[0].name)
	config, err := codec.ReadFile("demo.yaml", defaultConfig)
	if err != nil {
		return err
	}
	return rn.publish(ctx, fl, config)
}

// publish applies a configuration through the first node and waits until it is in
// force on every node.
func (rn *runner) publish(ctx context.Context, fl *fleet, config conf.Config) error {
	request := &opsv1.ApplyRequest{
		BaseVersion: uint64(rn.version),
		ChangeId:    uuid.NewString(),
		Config:      codec.ConfigToProto(config),
		Replace:     true,
	}
	response, err := fl.operator(0).Apply(ctx, connect.NewRequest(request))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	rn.version = types.Version(response.Msg.GetVersion())
	return rn.waitInForce(ctx, fl)
}

// waitInForce waits until the latest published version is in force on every node.
func (rn *runner) waitInForce(ctx context.Context, fl *fleet) error {
	stream, err := fl.operator(0).Wait(ctx, connect.NewRequest(&opsv1.WaitRequest{Version: uint64(rn.version)}))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if stream.Msg().GetInForce() {
			rn.printf("version %d is in force on %d nodes\n", rn.version, stream.Msg().GetTotal())
			return nil
		}
	}
	return errors.Errorf("version %d did not reach every node", rn.version)
}

// callWithoutUpstream calls the last node, which has no local upstream and
// forwards the calls.
func (rn *runner) callWithoutUpstream(ctx context.Context, fl *fleet) error {
	entry := fl.nodes[len(fl.nodes)-1]
	rn.printf("== call node %s, which owns no upstream\n", entry.name)
	answers, err := rn.sendCalls(ctx, entry)
	rn.printf("%s", answers)
	return err
}

func (rn *runner) sendCalls(ctx context.Context, entry *member) (string, error) {
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

// callUntilServed repeats a call while the node answers with status 503. With this
// status, no upstream executed the call, so it is safe to repeat.
func callUntilServed(ctx context.Context, entry *member, path string) (string, error) {
	for ctx.Err() == nil {
		status, answer, err := call(ctx, entry, path, teamKey)
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

func call(ctx context.Context, entry *member, path, key string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(entry.node.CallerAddress())+path, nil)
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// callWithoutKey sends a call with a key that no team holds.
func (rn *runner) callWithoutKey(ctx context.Context, fl *fleet) error {
	rn.printf("== call with a key that no team holds\n")
	status, answer, err := call(ctx, fl.nodes[0], "/status/1", "other-key")
	if err != nil {
		return err
	}
	if status != http.StatusUnauthorized {
		return errors.Errorf("a key that no team holds was answered with status %d", status)
	}
	rn.printf("%s", answer)
	return nil
}

// changeConfig publishes a second version of the configuration, in which the first
// route has another deadline.
func (rn *runner) changeConfig(ctx context.Context, fl *fleet) error {
	rn.printf("== change the deadline of a route\n")
	config, err := codec.ReadFile("demo.yaml", defaultConfig)
	if err != nil {
		return err
	}
	config.Routes[0].Deadline = time.Second
	return rn.publish(ctx, fl, config)
}

// leaveUpstream makes the upstream of the first node leave and then sends calls to
// the last node, to show that all of them are still answered.
func (rn *runner) leaveUpstream(ctx context.Context, fl *fleet) error {
	leaver := fl.nodes[0]
	rn.printf("== the upstream of node %s leaves\n", leaver.name)
	leaver.upstream.leave()
	entry := fl.nodes[len(fl.nodes)-1]
	answers, err := rn.sendCalls(ctx, entry)
	if err != nil {
		return err
	}
	rn.printf("%s", answers)
	return nil
}

// printTimeline prints the merged events of all nodes.
func (rn *runner) printTimeline(ctx context.Context, fl *fleet) error {
	rn.printf("== the time line of all nodes\n")
	response, err := fl.operator(0).Timeline(ctx, connect.NewRequest(&opsv1.TimelineRequest{}))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	for _, event := range response.Msg.GetEvents() {
		rn.printf("%s\n", codec.FormatEvent(event))
	}
	return nil
}

func (fl *fleet) operator(number int) opsv1connect.OperatorClient {
	return opsv1connect.NewOperatorClient(http.DefaultClient, "http://"+string(fl.nodes[number].node.AdminAddress()))
}
