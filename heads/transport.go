package heads

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"sequoiamill.example/sequoiamill/fault"
)

// Transport is an http.RoundTripper that returns an error in place of a malformed response
// and closes its connection. The request may have been executed. It is safe for concurrent
// use.
type Transport struct {
	base     http.RoundTripper
	knownEnd bool
}

// Option configures a Transport.
type Option func(*Transport)

// WithKnownEnd refuses responses whose body has neither a length nor a chunked end. While a
// request is still being written, the base may take a reset for the end of such a body. It is
// for servers that always state the end, and for bodies that don't tell where they end.
func WithKnownEnd() Option {
	return func(tr *Transport) { tr.knownEnd = true }
}

// NewTransport returns a Transport that sends its requests with base.
func NewTransport(base http.RoundTripper, opts ...Option) *Transport {
	tr := &Transport{base: base}
	for _, opt := range opts {
		opt(tr)
	}
	return tr
}

// RoundTrip implements http.RoundTripper. For a malformed response, the error is of kind
// fault.BrokenAnswer.
func (tr *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ex := &exchange{}
	response, err := tr.base.RoundTrip(request.WithContext(ex.trace(request.Context())))
	if err != nil {
		return nil, ex.cause(err)
	}
	err = ex.check(response)
	if err == nil && tr.knownEnd && !endKnown(response) {
		err = fault.New(fault.BrokenAnswer, "the response has neither a length nor a chunked end")
	}
	if err != nil {
		_ = response.Body.Close()
		ex.close()
		return nil, err
	}
	return response, nil
}

// endKnown reports whether the end of a response's body is known. A decompressed body has an
// end of its own.
func endKnown(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Uncompressed || response.Body == http.NoBody
}

// CloseIdleConnections closes the idle connections of the base, as http.Client expects it.
func (tr *Transport) CloseIdleConnections() {
	if closer, ok := tr.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// exchange records the connection and the interim responses of a request.
type exchange struct {
	mu   sync.Mutex
	conn net.Conn
	// err is the first fault of an interim response.
	err error
}

func (ex *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: ex.gotConn, Got1xxResponse: ex.gotInterim})
}

func (ex *exchange) gotConn(info httptrace.GotConnInfo) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.conn = info.Conn
}

func (ex *exchange) gotInterim(status int, header textproto.MIMEHeader) error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.err == nil {
		ex.err = CheckResponse(&http.Response{StatusCode: status, Header: http.Header(header)})
	}
	return ex.err
}

// cause returns the fault of an interim response, or err if there was none. The base may
// return the error of writing the request in place of that fault.
func (ex *exchange) cause(err error) error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.err != nil {
		return ex.err
	}
	return err
}

// check returns the fault of a response or of an interim one before it.
func (ex *exchange) check(response *http.Response) error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.err != nil {
		return ex.err
	}
	return CheckFinal(response)
}

func (ex *exchange) close() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.conn != nil {
		_ = ex.conn.Close()
	}
}
