package peer_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/peer"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// reachedBody is the body of the answer to a probe that reached its target.
const reachedBody = "Content-Type: application/proto\r\nContent-Length: 2\r\n\r\n\x08\x01"

// probeWith returns the result of a probe of an instance that a raw server answers.
func probeWith(t *testing.T, server *fakes.RawServer, id types.InstanceID) (bool, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go server.Listen(listener)
	client := peer.NewClient(trace.NewClock(), time.Now)
	return client.Probe(t.Context(), types.Address(listener.Addr().String()), id, "127.0.0.1:1")
}

// TestMalformedHeadOfAPeerIsNotBelieved guards against clients that take a message out of an
// answer whose head is malformed.
func TestMalformedHeadOfAPeerIsNotBelieved(t *testing.T) {
	is := is.NewRelaxed(t)
	for _, head := range []string{
		"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 101 Switching Protocols\r\n", "HTTP/1.1 200 OK\r\nX Y: z\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 9\r\n", "HTTP/1.1 103 Early\r\nX : z\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		reached, err := probeWith(t, &fakes.RawServer{Answer: head + reachedBody, Ending: fakes.FinishAndReadOn}, "b")
		is.True(err != nil && !reached) // nothing is believed
	}
	reached, err := probeWith(t, &fakes.RawServer{Answer: "HTTP/1.1 200 OK\r\n" + reachedBody}, "b")
	is.NoErr(err)
	is.True(reached)
}

// TestResetBesideARequestIsNoEndOfAPeersAnswer guards against clients that take a part of a
// message for the whole one when the peer resets the connection.
func TestResetBesideARequestIsNoEndOfAPeersAnswer(t *testing.T) {
	const tries, requestSize = 20, 4 << 20
	is := is.NewRelaxed(t)
	id := types.InstanceID(strings.Repeat("b", requestSize))
	for range tries {
		server := &fakes.RawServer{
			Answer: "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n\x08\x01",
			Ending: fakes.ResetAtOnce, Wait: 2 * time.Millisecond,
		}
		reached, err := probeWith(t, server, id)
		is.True(err != nil && !reached) // nothing is believed
	}
}
