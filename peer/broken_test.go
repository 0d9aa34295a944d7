package peer_test

import (
	"net"
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

// probeWith returns the result of a probe that a peer answers with raw bytes.
func probeWith(t *testing.T, answer string) (bool, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	server := &fakes.RawServer{Answer: answer, Ending: fakes.FinishAndReadOn}
	go server.Listen(listener)
	client := peer.NewClient(trace.NewClock(), time.Now)
	return client.Probe(t.Context(), types.Address(listener.Addr().String()), "b", "127.0.0.1:1")
}

// TestMalformedHeadOfAPeerIsNotBelieved guards against clients that take a message out of an
// answer whose head is malformed.
func TestMalformedHeadOfAPeerIsNotBelieved(t *testing.T) {
	is := is.NewRelaxed(t)
	for _, head := range []string{
		"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 101 Switching Protocols\r\n", "HTTP/1.1 200 OK\r\nX Y: z\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 9\r\n", "HTTP/1.1 103 Early\r\nX : z\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		reached, err := probeWith(t, head+reachedBody)
		is.True(err != nil && !reached) // nothing is believed
	}
	reached, err := probeWith(t, "HTTP/1.1 200 OK\r\n"+reachedBody)
	is.NoErr(err)
	is.True(reached)
}
