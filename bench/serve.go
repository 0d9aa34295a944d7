package bench

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/verbs"
)

// The subcommands with which an experiment starts its own executable as a child
// process.
const (
	verbNode      = "serve-node"
	verbPlatform  = "serve-platform"
	verbUpstreams = "serve-upstreams"
	verbLinks     = "serve-links"
)

// ServeProcess runs one process of a fleet: a node, the fake platform, the fake
// upstreams or the latency proxies, depending on the first argument. It returns
// the exit code and reports whether the first argument named such a process.
func ServeProcess(args []string) (code int, served bool) {
	if len(args) == 0 {
		return 0, false
	}
	var err error
	switch args[0] {
	case verbNode:
		return verbs.Main(args[1:], os.Stdout, os.Stderr), true
	case verbPlatform:
		err = servePlatform(os.Stdin)
	case verbUpstreams:
		err = serveUpstreams(os.Stdin)
	case verbLinks:
		err = serveLinks(os.Stdin)
	default:
		return 0, false
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1, true
	}
	return 0, true
}

func servePlatform(input io.Reader) error {
	var address string
	if _, err := fmt.Fscan(input, &address); err != nil {
		return err
	}
	server := &http.Server{Addr: address, Handler: fakes.NewPlatform(), ReadHeaderTimeout: time.Minute}
	return server.ListenAndServe()
}
