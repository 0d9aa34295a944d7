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

// leaveLinger is how long an upstream that leaves still takes what its node
// sent just before.
const leaveLinger = 300 * time.Millisecond

// upstream serves until it is told to stop. It then announces that it leaves
// and ends when its node has had no answer to wait for.
func upstream() {
	name := flag.String("name", "", "name in the answers")
	listen := flag.String("listen", "", "address")
	announce := flag.String("announce", "", "address that the node is told; empty means the one listened on")
	admin := flag.String("admin", "", "operator address of the node")
	service := flag.String("service", "", "service")
	work := flag.Duration("work", 0, "time of each request")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if *announce == "" {
		*announce = *listen
	}
	announcement := fakes.Announcement{Service: *service, Address: *announce, Slots: 10, Connections: 100}
	go fakes.Announce(ctx, *admin, announcement, time.Second)
	server := &http.Server{Addr: *listen, Handler: &fakes.Upstream{Name: *name, Work: *work}, ReadHeaderTimeout: time.Minute}
	ended := make(chan error, 1)
	go func() { ended <- server.ListenAndServe() }()
	select {
	case err := <-ended:
		fail("%v", err)
	case <-ctx.Done():
	}
	announcement.Leaving = true
	_ = fakes.PostAnnouncement(context.Background(), *admin, announcement)
	time.Sleep(leaveLinger)
	_ = server.Shutdown(context.Background())
}
