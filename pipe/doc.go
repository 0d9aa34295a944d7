// Package pipe serves HTTP/1.1 to callers that send further requests on a connection
// before the first has been answered.
//
// A Line decides, for one connection, which requests run, whose answer is written, and
// when the connection closes. A Server carries this out. It reads a request ahead of the
// answers before it only if that request and those before it may be repeated: an answer
// that closes the connection tells the caller that what lies behind it was not read. A
// request that can't be repeated runs alone.
//
// While requests run, the server goes on reading the connection, so that a caller that
// closes it is seen at once. The contexts of all its requests then end, and no further
// request runs.
//
// The server differs from that of net/http in these points. It passes no informational
// answers and no trailers of answers on, and doesn't hand over connections. It doesn't
// speak HTTP/2. An answer of up to holdBytes without Content-Length gets one.
//
// # Usage
//
//	server := &pipe.Server{
//		Handler:       handler,
//		Ahead:         func(request *http.Request) bool { return request.Method == http.MethodGet },
//		HeaderTimeout: 10 * time.Second,
//		IdleTimeout:   2 * time.Minute,
//	}
//	server.Serve(conn)
//	server.Stop()
package pipe
