// Package verbs implements the command line of sequoiamill: the commands that
// run a node and the commands for operators.
//
// # Usage
//
//	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
package verbs

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"sequoiamill.example/sequoiamill/fault"
)

const usageExitCode = 2

type commands struct {
	Node     nodeCmd     `cmd:"" help:"Run a node beside an upstream."`
	Hosted   hostedCmd   `cmd:"" help:"Run a node on a hosting platform, configured by the platform's settings file."`
	Check    checkCmd    `cmd:"" help:"Check a configuration file."`
	Apply    applyCmd    `cmd:"" help:"Publish a configuration file as a new version."`
	Get      getCmd      `cmd:"" help:"Print the configuration that the platform holds."`
	Status   statusCmd   `cmd:"" help:"Print which nodes hold which version."`
	Timeline timelineCmd `cmd:"" help:"Print the events of all nodes in order."`
	Holds    holdsCmd    `cmd:"" help:"Print the requests that are held back because they end the upstreams that run them."`
	Release  releaseCmd  `cmd:"" help:"Lift the hold of a request."`
	Explain  explainCmd  `cmd:"" help:"Print where a request would go now and why, without sending it."`
	Rollout  rolloutCmd  `cmd:"" help:"Move the work of a service to the upstreams of another version."`
	Demo     demoCmd     `cmd:"" help:"Run a small mesh in one process and show what it does."`
	Version  versionCmd  `cmd:"" help:"Print the version of the program."`
}

// output holds the standard output and the standard error stream of a command.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

func (o output) printf(format string, args ...any) { _, _ = fmt.Fprintf(o.stdout, format, args...) }

// Main runs the command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	var cmds commands
	exit := -1
	parser, err := kong.New(&cmds,
		kong.Name("sequoiamill"),
		kong.Description("Distributes the configuration of a service mesh and carries its calls."),
		kong.DefaultEnvars("SEQUOIAMILL"),
		kong.Writers(out, errs),
		kong.Exit(func(code int) { exit = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		return report(errs, err)
	}
	parsed, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		_, _ = fmt.Fprintf(errs, "sequoiamill: %v\n", err)
		return usageExitCode
	}
	if err := parsed.Run(output{stdout: out, stderr: errs}); err != nil {
		return report(errs, err)
	}
	return 0
}

func report(errs io.Writer, err error) int {
	faultErr := fault.From(err)
	_, _ = fmt.Fprintf(errs, "sequoiamill: %v\n", faultErr)
	if faultErr.RetryAfter > 0 {
		_, _ = fmt.Fprintf(errs, "sequoiamill: retry after %s\n", faultErr.RetryAfter)
	}
	return fault.StatusOf(faultErr.Kind).ExitCode
}
