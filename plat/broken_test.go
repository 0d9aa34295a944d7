package plat_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
)

const storedObject = `{"metadata":{"name":"a","resourceVersion":"7"},"data":"eA=="}`

// withObject returns an answer of the platform with the given status and a stored object.
func withObject(status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(storedObject), storedObject)
}

func startRaw(t *testing.T, server *fakes.RawServer) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go server.Listen(listener)
	return "http://" + listener.Addr().String()
}

// calls are the operations of a store that send one request, by its method.
var calls = map[string]func(ctx context.Context, store *plat.Store, object plat.Object) error{
	http.MethodPut: func(ctx context.Context, store *plat.Store, object plat.Object) error {
		_, err := store.Put(ctx, object)
		return err
	},
	http.MethodPost: func(ctx context.Context, store *plat.Store, object plat.Object) error {
		object.Revision = ""
		_, err := store.Put(ctx, object)
		return err
	},
	http.MethodDelete: func(ctx context.Context, store *plat.Store, object plat.Object) error {
		return store.Delete(ctx, object)
	},
	http.MethodGet: func(ctx context.Context, store *plat.Store, object plat.Object) error {
		_, err := store.Get(ctx, object.Name)
		return err
	},
}

// checkNotBelieved checks that a call which gets an answer fails, and that a write may then
// have taken effect.
func checkNotBelieved(t *testing.T, method string, server *fakes.RawServer, object plat.Object) {
	t.Helper()
	is := is.NewRelaxed(t)
	store := plat.NewHTTPStore(startRaw(t, server), plat.WithTimeout(time.Minute))
	err := calls[method](t.Context(), store, object)
	if err == nil {
		t.Fatal("the answer is believed")
	}
	is.True(fault.Is(err, fault.PlatformUnavailable))
	is.Equal(fault.From(err).Outcome == fault.Unknown, method != http.MethodGet)
	is.Equal(server.Requests(), int64(1))
}

// TestStatusOfNoAnswerIsNotBelieved guards against writes that count as accepted although
// the platform has not answered.
func TestStatusOfNoAnswerIsNotBelieved(t *testing.T) {
	object := plat.Object{Name: plat.RootName, Revision: plat.Era(0).Revision("6")}
	for method := range calls {
		for _, status := range []string{"000 Trouble", "099 Trouble", "+12 Trouble", "101 Switching Protocols"} {
			t.Run(method+"/"+status, func(t *testing.T) {
				checkNotBelieved(t, method, &fakes.RawServer{Answer: withObject(status), Ending: fakes.FinishAndReadOn}, object)
			})
		}
		t.Run(method+"/interim", func(t *testing.T) {
			answer := fmt.Sprintf("HTTP/1.1 100 Continue\r\nContent-Length: %d\r\n\r\n%s", len(withObject("200 OK")), withObject("200 OK"))
			checkNotBelieved(t, method, &fakes.RawServer{Answer: answer}, object)
		})
	}
}

// TestFieldNameThatIsNoTokenIsNotBelieved guards against a client that believes an answer in
// whose head the name of a field has a blank, or takes its chunks for the body.
func TestFieldNameThatIsNoTokenIsNotBelieved(t *testing.T) {
	object := plat.Object{Name: plat.RootName, Revision: plat.Era(0).Revision("6")}
	chunked := fmt.Sprintf("Transfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(storedObject), storedObject)
	for method := range calls {
		for name, answer := range map[string]string{
			"head":    strings.Replace(withObject("200 OK"), "\r\n", "\r\nX Y: z\r\n", 1),
			"length":  strings.Replace(withObject("200 OK"), "Content-Length", "Content-Length ", 1),
			"chunked": "HTTP/1.1 200 OK\r\n" + chunked,
			"interim": "HTTP/1.1 103 Early\r\nX Y: z\r\n\r\n" + withObject("200 OK"),
		} {
			t.Run(method+"/"+name, func(t *testing.T) {
				checkNotBelieved(t, method, &fakes.RawServer{Answer: answer, Ending: fakes.FinishAndReadOn}, object)
			})
		}
	}
}

// TestWatchWithAMalformedHeadIsNotBelieved guards against a client that takes the events of a
// watch whose answer is malformed.
func TestWatchWithAMalformedHeadIsNotBelieved(t *testing.T) {
	const event = `{"type":"MODIFIED","object":{"metadata":{"name":"root","resourceVersion":"8"}}}`
	for _, head := range []string{"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n", "HTTP/1.1 000 Trouble\r\n\r\n", "HTTP/1.1 100 Continue\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"} {
		is := is.New(t)
		server := &fakes.RawServer{First: withObject("200 OK"), Answer: head + event, Ending: fakes.FinishAndReadOn}
		store := plat.NewHTTPStore(startRaw(t, server), plat.WithTimeout(time.Minute))
		var seen []plat.Revision
		ctx, cancel := context.WithCancel(t.Context())
		err := store.Watch(ctx, plat.RootName, func(object plat.Object) {
			seen = append(seen, object.Revision)
			if len(seen) > 1 {
				cancel()
			}
		})
		cancel()
		is.True(fault.Is(err, fault.PlatformUnavailable))
		is.Equal(seen, []plat.Revision{plat.Era(0).Revision("7")})
	}
}

// TestPartOfAnAnswerIsNotBelieved checks that an answer without a length, which a reset cuts
// while the request is being written, is not taken for the whole one.
func TestPartOfAnAnswerIsNotBelieved(t *testing.T) {
	const tries = 5
	object := plat.Object{Name: plat.RootName, Revision: plat.Era(0).Revision("6"), Body: make([]byte, 6<<20)}
	for _, method := range []string{http.MethodPut, http.MethodPost} {
		for _, wait := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
			for range tries {
				server := &fakes.RawServer{Answer: "HTTP/1.1 200 OK\r\n\r\n" + storedObject[:len(storedObject)-1], Ending: fakes.ResetAtOnce, Wait: wait}
				checkNotBelieved(t, method, server, object)
			}
		}
	}
}
