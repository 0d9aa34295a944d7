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
	// memoryShare is the part of the process's memory that the collector aims
	// to stay within; the rest is for stacks and what the kernel counts.
	memoryShare = 0.7
	// settingsInterval is the time between looks at the settings file, which
	// may change without a signal.
	settingsInterval = 2 * time.Second
)

type hostedCmd struct {
	Settings string `help:"Path of the platform's settings file; empty means the one that the platform names." default:""`
}

// Run serves until the process is told to stop.
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
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory)))
	}
	writer := logs.NewWriter(out.out)
	defer func() { _ = writer.Close() }()
	logger := log.With(log.NewLogfmtLogger(writer), "time", log.DefaultTimestampUTC, "instance", settings.Instance)
	nd, err := platform.NewNode(settings, logger, node.WithDroppedLogLines(writer.Dropped))
	if err != nil {
		return err
	}
	var group run.Group
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	group.Add(func() error { return nd.Run(ctx) }, func(error) { stop() })
	life, end := context.WithCancel(context.Background())
	group.Add(func() error { return c.follow(life, hangup, nd, text) }, func(error) { end() })
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

// follow takes changes of the settings file, at a signal and from time to time.
// A change that can't be read leaves the settings as they are.
func (c *hostedCmd) follow(ctx context.Context, hangup <-chan os.Signal, nd *node.Node, text []byte) error {
	refused := ""
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
		case <-ticker.C:
		}
		changed, settings, err := c.read()
		switch {
		case err != nil && err.Error() == refused:
		case err != nil:
			refused = err.Error()
			nd.RecordRefusedSettings(fault.From(err))
		case !bytes.Equal(changed, text):
			text, refused = changed, ""
			nd.SetRetryBudget(settings.Budget)
		}
	}
}
