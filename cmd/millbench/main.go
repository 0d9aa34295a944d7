// Command millbench runs benchmarks on fleets of node processes.
//
// # Usage
//
//	millbench converge --layout board --quick
//	millbench all --quick --dir out
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
	_ "time/tzdata"

	"github.com/alecthomas/kong"

	"sequoiamill.example/sequoiamill/bench"
)

type settings struct {
	Quick bool     `help:"Shorten the runs."`
	Smoke bool     `help:"One run of a few seconds with 3 nodes."`
	Runs  int      `help:"Number of runs of each experiment." default:"5"`
	Seed  uint64   `help:"Seed of the first run." default:"1"`
	Dir   string   `help:"Directory to which tables, results and charts are added."`
	Also  []string `help:"Node flags of an additional variant to measure, for example --also=--balance=least-outstanding."`
	Sizes []int    `help:"Numbers of nodes at which the slopes experiment measures." default:"17,40,80,160"`

	Layout string `help:"Layout: board, weerasinghe, scale, both (board and weerasinghe) or home (for each experiment, the layout whose users depend most on what is measured)." enum:"board,weerasinghe,scale,both,home" default:"both"`
	Nodes  int    `help:"Number of nodes in the scale layout." default:"40"`
}

func (s settings) runner() *bench.Runner {
	mode := bench.Full
	if s.Quick {
		mode = bench.Quick
	}
	if s.Smoke {
		mode = bench.Smoke
	}
	return bench.NewRunner(os.Stdout, bench.WithMode(mode), bench.WithRuns(s.Runs), bench.WithSeed(s.Seed), bench.WithDir(s.Dir), bench.WithExtraVariant(s.Also...))
}

func (s settings) layouts() []bench.Layout {
	switch {
	case s.Smoke:
		return []bench.Layout{bench.Scale(3)}
	case s.Layout == "board":
		return []bench.Layout{bench.Board()}
	case s.Layout == "weerasinghe":
		return []bench.Layout{bench.Weerasinghe()}
	case s.Layout == "scale":
		return []bench.Layout{bench.Scale(s.Nodes)}
	default:
		return []bench.Layout{bench.Board(), bench.Weerasinghe()}
	}
}

type experiment func(ctx context.Context, runner *bench.Runner, layout bench.Layout) error

type commands struct {
	settings
	Added            struct{} `cmd:"" help:"Time that the entry node and the owner node add to a call."`
	Crest            struct{} `cmd:"" help:"Answered and refused calls while demand rises to 3 times the capacity and falls again."`
	Stragglers       struct{} `cmd:"" help:"Latency of short calls while some calls take 100 times longer."`
	Slowed           struct{} `cmd:"" help:"Tail latency while one upstream is slow from time to time."`
	SlowedStragglers struct{} `cmd:"" help:"The stragglers experiment while one upstream is slow from time to time."`
	Converge         struct{} `cmd:"" help:"Time until every node holds a configuration change."`
	Control          struct{} `cmd:"" help:"Resource use of the nodes while there are no calls."`
	CrestLeaving     struct{} `cmd:"" help:"The crest experiment while an upstream leaves."`
	Herd             struct{} `cmd:"" help:"Recovery after all nodes are killed and restarted at peak demand."`
	Outage           struct{} `cmd:"" help:"Calls while the platform is down and upstreams join and leave."`
	Churn            struct{} `cmd:"" help:"Calls and convergence with one configuration change per second."`
	Slopes           struct{} `cmd:"" help:"Resource use per node at several fleet sizes."`
	All              struct{} `cmd:"" help:"All experiments."`
}

var experiments = []struct {
	name string
	run  experiment
	// home is the name of the layout in which the experiment runs with
	// --layout=home: the layout whose users depend most on what the experiment
	// measures.
	home string
}{
	{"added", bench.AddedLatency, "board"},
	{"crest", bench.DemandPeak, "board"},
	{"stragglers", bench.Stragglers, "weerasinghe"},
	{"slowed", bench.SlowUpstream, "weerasinghe"},
	{"converge", bench.Converge, "board"},
	{"control", bench.ControlOverhead, "board"},
	{"crest-leaving", bench.DemandPeakLeavingUpstream, "board"},
	{"slowed-stragglers", bench.SlowUpstreamStragglers, "weerasinghe"},
	{"herd", bench.FleetRestart, "board"},
	{"outage", bench.Outage, "board"},
	{"churn", bench.Churn, "board"},
}

func (c *commands) run(ctx context.Context, name string) error {
	runner := c.runner()
	for _, item := range experiments {
		if name != item.name && name != "all" {
			continue
		}
		for _, layout := range c.layouts() {
			if c.Layout == "home" && layout.Name != item.home && !c.Smoke {
				continue
			}
			start := time.Now()
			if err := item.run(ctx, runner, layout); err != nil {
				return fmt.Errorf("%s on %s: %w", item.name, layout.Name, err)
			}
			fmt.Printf("%s on %s took %s\n", item.name, layout.Name, time.Since(start).Round(time.Second))
		}
	}
	if name == "slopes" || name == "all" {
		return bench.FleetScaling(ctx, runner, c.Sizes)
	}
	return nil
}

func main() {
	if code, served := bench.ServeProcess(os.Args[1:]); served {
		os.Exit(code)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "millbench:", err)
		os.Exit(1)
	}
}

func run() error {
	var cmds commands
	parsed := kong.Parse(&cmds, kong.Name("millbench"), kong.Description("Runs benchmarks on fleets of node processes."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return cmds.run(ctx, parsed.Command())
}
