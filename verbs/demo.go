package verbs

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sequoiamill.example/sequoiamill/demo"
)

type demoCmd struct{}

// Run runs the demo until it ends or the process gets SIGTERM or SIGINT.
func (c *demoCmd) Run(out output) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return demo.Run(ctx, out.stdout)
}
