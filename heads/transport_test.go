package heads_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/heads"
)

// uploadSize is the size of a request body that no socket buffers as a whole.
const uploadSize = 8 << 20

// get sends a request to a raw server and returns the body of the answer.
func get(t *testing.T, client *http.Client, server *fakes.RawServer) (string, error) {
	t.Helper()
	return send(t, client, server, http.MethodGet, http.NoBody)
}

// send sends a request to a raw server and returns the body of the answer.
func send(t *testing.T, client *http.Client, server *fakes.RawServer, method string, body io.Reader) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go server.Listen(listener)
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+listener.Addr().String(), body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return string(answer), err
}

func waitUntilClosed(server *fakes.RawServer) {
	for server.Closed() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// malformedAnswers are answers that net/http accepts and a Transport refuses.
var malformedAnswers = []string{
	"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 103 Early\r\nX Y: z\r\n\r\n",
}

// TestMalformedResponseBesideAnUploadIsNamed checks that the fault of a response is returned,
// not the error of the write that it ends.
func TestMalformedResponseBesideAnUploadIsNamed(t *testing.T) {
	for _, answer := range malformedAnswers {
		t.Run(answer, func(t *testing.T) {
			is := is.New(t)
			server := &fakes.RawServer{Answer: answer}
			_, err := send(t, &http.Client{Transport: heads.NewTransport(&http.Transport{})}, server, http.MethodPost, bytes.NewReader(make([]byte, uploadSize)))
			is.True(fault.Is(err, fault.BrokenAnswer))
			waitUntilClosed(server)
		})
	}
}

// TestTransportClosesTheConnectionOfAMalformedResponse checks that a connection isn't used
// again on which the next response may begin anywhere.
func TestTransportClosesTheConnectionOfAMalformedResponse(t *testing.T) {
	for _, answer := range malformedAnswers {
		is := is.New(t)
		server := &fakes.RawServer{Answer: answer}
		_, err := get(t, &http.Client{Transport: heads.NewTransport(&http.Transport{})}, server)
		is.True(fault.Is(err, fault.BrokenAnswer))
		waitUntilClosed(server)
	}
}

// TestTransportKeepsTheConnectionOfASoundResponse checks that a connection is closed with the
// idle ones, not before.
func TestTransportKeepsTheConnectionOfASoundResponse(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext",
		"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\nHTTP/1.1 600 Other\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
	} {
		is := is.New(t)
		client := &http.Client{Transport: heads.NewTransport(&http.Transport{}, heads.WithKnownEnd())}
		server := &fakes.RawServer{Answer: answer}
		body, err := get(t, client, server)
		is.NoErr(err)
		is.Equal(body, "text")
		is.Equal(server.Closed(), int64(0))
		client.CloseIdleConnections()
		waitUntilClosed(server)
	}
}

// TestTransportWithKnownEnd checks that a response which ends with its connection is refused
// only where the end must be known.
func TestTransportWithKnownEnd(t *testing.T) {
	is := is.New(t)
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		server := &fakes.RawServer{Answer: protocol + " 200 OK\r\n\r\ntext", Ending: fakes.FinishAndReadOn}
		body, err := get(t, &http.Client{Transport: heads.NewTransport(&http.Transport{})}, server)
		is.NoErr(err)
		is.Equal(body, "text")
		_, err = get(t, &http.Client{Transport: heads.NewTransport(&http.Transport{}, heads.WithKnownEnd())}, server)
		is.True(fault.Is(err, fault.BrokenAnswer))
	}
}

// TestIsToken checks every byte against the characters that RFC 9110 lists for a token.
func TestIsToken(t *testing.T) {
	is := is.New(t)
	const valid = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for char := range 256 {
		text := string([]byte{byte(char)})
		is.Equal(heads.IsToken(text), strings.Contains(valid, text))
		is.Equal(heads.IsToken("X"+text), strings.Contains(valid, text))
	}
	is.True(!heads.IsToken(""))
}

// TestErrorsQuoteAPartOfAResponse checks that a long status or name does not get into errors.
func TestErrorsQuoteAPartOfAResponse(t *testing.T) {
	const longest = 200
	is := is.New(t)
	long := strings.Repeat("x", 100_000)
	for _, response := range []*http.Response{
		{Status: "000 " + long},
		{StatusCode: http.StatusOK, Header: http.Header{"X " + long: {"z"}}},
	} {
		err := heads.CheckResponse(response)
		is.True(err != nil && len(err.Error()) < longest)
	}
}
