package verbs

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/platform"
)

// memoryShare is the part of the process's memory that the collector aims to
// stay within; the rest is for stacks and what the kernel counts.
const memoryShare = 0.7

type hostedCmd struct {
	Settings string `help:"Path of the platform's settings file; empty means the one that the platform names." default:""`
}

// Run serves until the process is told to stop.
func (c *hostedCmd) Run(out output) error {
	if c.Settings == "" {
		c.Settings = os.Getenv(platform.SettingsVariable)
	}
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return fault.Wrap(fault.InvalidInput, err, "read the settings file")
	}
	settings, err := platform.ReadSettings(text)
	if err != nil {
		return err
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory)))
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(out.out))
	logger = log.With(logger, "time", log.DefaultTimestampUTC, "instance", settings.Instance)
	nd, err := platform.NewNode(settings, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return nd.Run(ctx)
}
