package heads

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// Transport is an http.RoundTripper that returns an error in place of a malformed response
// and closes its connection. The request may have been executed. It is safe for concurrent
// use.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a Transport that sends its requests with base.
func NewTransport(base http.RoundTripper) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper. For a malformed response, the error is of kind
// fault.BrokenAnswer.
func (tr *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ex := &exchange{}
	response, err := tr.base.RoundTrip(request.WithContext(ex.trace(request.Context())))
	if err != nil {
		return nil, err
	}
	if err := ex.check(response); err != nil {
		_ = response.Body.Close()
		ex.close()
		return nil, err
	}
	return response, nil
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
