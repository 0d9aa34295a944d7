package proxy_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// TestEndOfUpstreamIsToldFromALostAnswer checks that a request which got no answer counts
// as running when its upstream ended only if the upstream takes no more connections.
func TestEndOfUpstreamIsToldFromALostAnswer(t *testing.T) {
	check := is.New(t)
	ended := make(chan admit.Ended, 1)
	var owner *proxy.Owner
	owner = proxy.NewOwner(func(event types.Event) {
		switch ev := event.(type) {
		case admit.Arrived:
			owner.Apply(admit.Dispatch(ev))
		case admit.Ended:
			ended <- ev
		}
	}, func() route.Load { return route.Load{} }, time.Now)
	job := proxy.Job{Request: "r", Method: http.MethodPost, URI: "/ends", Body: []byte("ends"), Route: conf.Route{Service: "s"}, Deadline: time.Now().Add(time.Minute)}

	ending := &fakes.CrashingUpstream{Path: "/ends", Bodies: []string{"ends"}, DownFor: time.Minute, Log: &fakes.CrashLog{}}
	address, err := ending.Start()
	check.NoErr(err)
	defer ending.Close()
	owner.SetUpstream("p", types.Address(address))
	owner.Do(context.Background(), job)
	check.True((<-ended).UpstreamEnded) // the process has ended

	fx := newFixture(t)
	owner.SetUpstream("q", types.Address(strings.TrimPrefix(fx.server.URL, "http://")))
	job.Header = http.Header{fakes.HeaderMode: {"closed"}}
	owner.Do(context.Background(), job)
	check.True(!(<-ended).UpstreamEnded) // only the answer is lost
}
