package verbs

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/logs"
	"sequoiamill.example/sequoiamill/node"
	"sequoiamill.example/sequoiamill/platform"
)

const (
	// memoryLimitShare is the fraction of the process's memory limit that is set
	// as the soft memory limit of the Go runtime. The rest is left for stacks
	// and for memory that only the kernel counts.
	memoryLimitShare = 0.7
	// settingsInterval is how often the settings file is read again, because it
	// may change without a SIGHUP.
	settingsInterval = 2 * time.Second
)

type hostedCmd struct {
	Settings string `help:"Path of the platform's settings file; empty means the one that the platform names." default:""`
}

// Run runs a node with the platform's settings file, until the node fails or the
// process gets SIGTERM or SIGINT.
func (c *hostedCmd) Run(out output) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	if c.Settings == "" {
		c.Settings = os.Getenv(platform.SettingsVariable)
	}
	text, settings, err := c.read()
	if err != nil {
		return err
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Memory)))
	}
	writer := logs.NewWriter(out.stdout)
	defer func() { _ = writer.Close() }()
	logger := log.With(log.NewLogfmtLogger(writer), "time", log.DefaultTimestampUTC, "instance", settings.Instance)
	nd, err := platform.NewNode(settings, logger, node.WithDroppedLogLines(writer.Dropped))
	if err != nil {
		return err
	}
	var group run.Group
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	group.Add(func() error { return nd.Run(ctx) }, func(error) { stop() })
	watchCtx, stopWatch := context.WithCancel(context.Background())
	group.Add(func() error { return c.watchSettings(watchCtx, hangup, nd, text) }, func(error) { stopWatch() })
	return group.Run()
}

func (c *hostedCmd) read() ([]byte, platform.Settings, error) {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return nil, platform.Settings{}, fault.Wrap(fault.InvalidInput, err, "read the settings file")
	}
	settings, err := platform.ReadSettings(text)
	return text, settings, err
}

// watchSettings reads the settings file again on each SIGHUP and every
// settingsInterval. If the file has changed, the node applies its retry budget; other
// settings need a restart. If the file can't be read or is invalid, the node keeps
// its settings and records the error, unless it is the same as the last recorded
// one.
func (c *hostedCmd) watchSettings(ctx context.Context, hangup <-chan os.Signal, nd *node.Node, text []byte) error {
	lastError := ""
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
		case <-ticker.C:
		}
		newText, settings, err := c.read()
		switch {
		case err != nil && err.Error() == lastError:
		case err != nil:
			lastError = err.Error()
			nd.RecordRefusedSettings(fault.From(err))
		case !bytes.Equal(newText, text):
			text, lastError = newText, ""
			nd.SetRetryBudget(settings.Budget)
		}
	}
}
