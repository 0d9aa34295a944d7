package verbs

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sequoiamill.example/sequoiamill/demo"
)

type demoCmd struct{}

// Run shows the whole path in one process.
func (c *demoCmd) Run(out output) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return demo.Run(ctx, out.out)
}
