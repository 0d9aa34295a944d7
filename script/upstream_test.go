package script

import (
	"context"
	"flag"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"sequoiamill.example/sequoiamill/fakes"
)

// leaveLinger is how long an upstream keeps serving after it announced that it
// leaves. In this time it accepts the requests that its node sent before the node
// handled the announcement.
const leaveLinger = 300 * time.Millisecond

// runUpstream announces a fake upstream to its node and serves until the process
// gets SIGTERM or SIGINT. Then it announces that it leaves, keeps serving for
// leaveLinger, and exits when the requests in progress are answered.
func runUpstream() {
	name := flag.String("name", "", "name that the answers contain")
	listen := flag.String("listen", "", "address")
	announce := flag.String("announce", "", "address that is announced to the node; by default the listen address")
	admin := flag.String("admin", "", "operator address of the node")
	service := flag.String("service", "", "service")
	work := flag.Duration("work", 0, "duration of each request")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if *announce == "" {
		*announce = *listen
	}
	announcement := fakes.Announcement{Service: *service, Address: *announce, Slots: 10, Connections: 100}
	go fakes.Announce(ctx, *admin, announcement, time.Second)
	server := &http.Server{Addr: *listen, Handler: &fakes.Upstream{Name: *name, Work: *work}, ReadHeaderTimeout: time.Minute}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.ListenAndServe() }()
	select {
	case err := <-serveErr:
		fail("%v", err)
	case <-ctx.Done():
	}
	announcement.Leaving = true
	_ = fakes.PostAnnouncement(context.Background(), *admin, announcement)
	time.Sleep(leaveLinger)
	_ = server.Shutdown(context.Background())
}
