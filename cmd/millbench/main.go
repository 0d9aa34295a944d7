// Command millbench measures fleets of real processes.
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
	Quick bool     `help:"Short runs."`
	Smoke bool     `help:"One run of a few seconds with 3 nodes."`
	Runs  int      `help:"Runs of each experiment." default:"5"`
	Seed  uint64   `help:"Seed of the first run." default:"1"`
	Dir   string   `help:"Directory to which tables, results and charts are added."`
	Also  []string `help:"Flags of the nodes of one more variant, as in --also=--balance=least-outstanding."`
	Sizes []int    `help:"Numbers of nodes of the slopes." default:"17,40,80,160"`

	Layout string `help:"Layout: board, weerasinghe, scale, both of the first two, or home, the one whose users weigh the quantity most." enum:"board,weerasinghe,scale,both,home" default:"both"`
	Nodes  int    `help:"Number of nodes of the layout scale." default:"40"`
}

func (s settings) lab() *bench.Lab {
	mode := bench.Full
	if s.Quick {
		mode = bench.Quick
	}
	if s.Smoke {
		mode = bench.Smoke
	}
	return bench.NewLab(os.Stdout, bench.WithMode(mode), bench.WithRuns(s.Runs), bench.WithSeed(s.Seed), bench.WithDir(s.Dir), bench.WithAlso(s.Also...))
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

type experiment func(ctx context.Context, lab *bench.Lab, layout bench.Layout) error

type commands struct {
	settings
	Added            struct{} `cmd:"" help:"Time added to a call by its entry and its owner."`
	Crest            struct{} `cmd:"" help:"Service while demand swings to 3 times the capacity."`
	Stragglers       struct{} `cmd:"" help:"Short work behind long work."`
	Slowed           struct{} `cmd:"" help:"Tail while one upstream is slowed in spells."`
	SlowedStragglers struct{} `cmd:"" help:"Short work behind long work while one upstream is slowed in spells."`
	Converge         struct{} `cmd:"" help:"Time until a change is in force everywhere."`
	Control          struct{} `cmd:"" help:"What nodes spend without calls."`
	CrestLeaving     struct{} `cmd:"" help:"Crest while an upstream leaves."`
	Herd             struct{} `cmd:"" help:"All nodes die and restart at the crest."`
	Outage           struct{} `cmd:"" help:"Platform down while upstreams come and go."`
	Churn            struct{} `cmd:"" help:"A configuration change a second under load."`
	Slopes           struct{} `cmd:"" help:"Use per node at several sizes."`
	All              struct{} `cmd:"" help:"All experiments."`
}

var experiments = []struct {
	name string
	run  experiment
	// home is the layout whose users weigh the quantity most.
	home string
}{
	{"added", bench.Added, "board"},
	{"crest", bench.Crest, "board"},
	{"stragglers", bench.Stragglers, "weerasinghe"},
	{"slowed", bench.Slowed, "weerasinghe"},
	{"converge", bench.Converge, "board"},
	{"control", bench.Control, "board"},
	{"crest-leaving", bench.CrestLeaving, "board"},
	{"slowed-stragglers", bench.SlowedStragglers, "weerasinghe"},
	{"herd", bench.Herd, "board"},
	{"outage", bench.Outage, "board"},
	{"churn", bench.Churn, "board"},
}

func (c *commands) run(ctx context.Context, name string) error {
	lab := c.lab()
	for _, item := range experiments {
		if name != item.name && name != "all" {
			continue
		}
		for _, layout := range c.layouts() {
			if c.Layout == "home" && layout.Name != item.home && !c.Smoke {
				continue
			}
			began := time.Now()
			if err := item.run(ctx, lab, layout); err != nil {
				return fmt.Errorf("%s on %s: %w", item.name, layout.Name, err)
			}
			fmt.Printf("%s on %s took %s\n", item.name, layout.Name, time.Since(began).Round(time.Second))
		}
	}
	if name == "slopes" || name == "all" {
		return bench.Slopes(ctx, lab, c.Sizes)
	}
	return nil
}

func main() {
	if code, served := bench.Serve(os.Args[1:]); served {
		os.Exit(code)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "millbench:", err)
		os.Exit(1)
	}
}

func run() error {
	var cmds commands
	parsed := kong.Parse(&cmds, kong.Name("millbench"), kong.Description("Measures fleets of real processes."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return cmds.run(ctx, parsed.Command())
}
