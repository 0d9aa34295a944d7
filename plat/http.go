package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/heads"
)

const (
	apiGroup         = "sequoiamill.example"
	apiVersion       = "v1"
	defaultNamespace = "default"
	defaultTimeout   = 2 * time.Second
	maxReply         = 16 << 20
	maxReplyHead     = 256 << 10
	// defaultRetryAfter is the time to wait before a retry if the platform's
	// answer has no Retry-After header.
	defaultRetryAfter = time.Second
)

// keepAlive holds TCP keep-alive settings that detect a lost connection to the
// platform within three seconds. Without them, a watch would wait on the lost
// connection until its own timeout.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Option configures the Store that NewHTTPStore returns.
type Option func(*client)

// WithNamespace sets the namespace of all objects.
func WithNamespace(name string) Option {
	return func(cl *client) { cl.namespace = name }
}

// WithTimeout sets the timeout of each request. It does not apply to watches.
func WithTimeout(limit time.Duration) Option {
	return func(cl *client) { cl.api.timeout = limit }
}

// WithWatchTimeout sets the time after which the platform is asked to end a watch.
// The client closes a watch on which nothing arrives for this time plus one second,
// and opens a new one.
func WithWatchTimeout(limit time.Duration) Option {
	return func(cl *client) { cl.watchTimeout = limit }
}

// APIClient sends requests with JSON bodies to an HTTP API and maps its error statuses
// to error kinds.
type APIClient struct {
	base    string
	timeout time.Duration
	http    *http.Client
	era     eraClock
}

// NewAPIClient returns an APIClient for the API at a base URL.
func NewAPIClient(base string) *APIClient {
	dialer := &net.Dialer{Timeout: defaultTimeout, KeepAliveConfig: keepAlive}
	return &APIClient{
		base:    base,
		timeout: defaultTimeout,
		era:     eraClock{header: EraHeader},
		http: &http.Client{Transport: heads.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: maxReplyHead,
		})},
	}
}

// Do sends one request with the client's timeout. It encodes input as the JSON body,
// unless input is nil, and decodes the answer into output, unless output is nil.
func (ac *APIClient) Do(ctx context.Context, method, path string, input, output any) error {
	return ac.DoWithTimeout(ctx, ac.timeout, method, path, input, output)
}

// DoWithTimeout is like Do, but with the given timeout.
func (ac *APIClient) DoWithTimeout(ctx context.Context, timeout time.Duration, method, path string, input, output any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := ac.send(ctx, method, path, input)
	if err != nil {
		return err
	}
	era := ac.era.observe(reply.Header)
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode >= http.StatusMultipleChoices {
		return statusError(reply, method, path)
	}
	if output == nil {
		return nil
	}
	if err := decodeReply(io.LimitReader(reply.Body, maxReply), output); err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "decode the platform's reply").WithOutcome(outcomeOf(method))
	}
	if stamped, ok := output.(interface{ stamp(era Era) }); ok {
		stamped.stamp(era)
	}
	return nil
}

// ReplyDecoder is implemented by replies that hold what others have written to the
// platform. They decode each object by itself, so that one that can't be read costs only
// itself.
type ReplyDecoder interface {
	DecodeReply(text []byte) error
}

func decodeReply(body io.Reader, output any) error {
	decoder, ok := output.(ReplyDecoder)
	if !ok {
		return json.NewDecoder(body).Decode(output)
	}
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	return decoder.DecodeReply(text)
}

// client implements the operations of a Store over HTTP.
type client struct {
	api          *APIClient
	namespace    string
	watchTimeout time.Duration
}

// NewHTTPStore returns a Store that sends its requests to the object API at a base URL.
func NewHTTPStore(base string, opts ...Option) *Store {
	cl := &client{
		api:          NewAPIClient(base),
		namespace:    defaultNamespace,
		watchTimeout: defaultWatchTimeout,
	}
	for _, opt := range opts {
		opt(cl)
	}
	return &Store{Get: cl.get, GetCached: cl.getCached, List: cl.list, ListCached: cl.listCached, Put: cl.put, Delete: cl.delete, Watch: cl.watch, WatchCached: cl.watch, Era: cl.api.Era}
}

func (cl *client) path(kind Kind, name string) string {
	path := "/apis/" + apiGroup + "/" + apiVersion + "/namespaces/" + url.PathEscape(cl.namespace) + "/" + string(kind)
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

func (cl *client) get(ctx context.Context, name Name) (Object, error) {
	var wire ObjectWire
	if err := cl.api.Do(ctx, http.MethodGet, cl.path(name.Kind, name.Name), nil, &wire); err != nil {
		return Object{}, err
	}
	return wire.object(name.Kind, wire.Era()), nil
}

// getCached reads an object. The query resourceVersion=0 allows the platform to answer
// from a cache.
func (cl *client) getCached(ctx context.Context, name Name) (Object, error) {
	var wire ObjectWire
	if err := cl.api.Do(ctx, http.MethodGet, cl.path(name.Kind, name.Name)+"?resourceVersion=0", nil, &wire); err != nil {
		return Object{}, err
	}
	return wire.object(name.Kind, wire.Era()), nil
}

func (cl *client) list(ctx context.Context, kind Kind) ([]Object, error) {
	return cl.listAt(ctx, kind, cl.path(kind, ""))
}

// listCached lists objects. The query resourceVersion=0 allows the platform to answer
// from a cache.
func (cl *client) listCached(ctx context.Context, kind Kind) ([]Object, error) {
	return cl.listAt(ctx, kind, cl.path(kind, "")+"?resourceVersion=0")
}

func (cl *client) listAt(ctx context.Context, kind Kind, path string) ([]Object, error) {
	var wire ListWire
	if err := cl.api.Do(ctx, http.MethodGet, path, nil, &wire); err != nil {
		return nil, err
	}
	objects := make([]Object, 0, len(wire.Items))
	for _, item := range wire.Items {
		var object ObjectWire
		err := json.Unmarshal(item, &object)
		read := object.object(kind, wire.Era())
		if err != nil {
			read = read.WithError(err)
		}
		objects = append(objects, read)
	}
	return objects, nil
}

func (cl *client) put(ctx context.Context, object Object) (Object, error) {
	method, path := http.MethodPut, cl.path(object.Name.Kind, object.Name.Name)
	if object.Revision == "" {
		method, path = http.MethodPost, cl.path(object.Name.Kind, "")
	}
	text, err := cl.api.TextOf(object.Revision)
	if err != nil {
		return Object{}, err
	}
	var wire ObjectWire
	if err := cl.api.Do(ctx, method, path, cl.wire(object, text), &wire); err != nil {
		return Object{}, err
	}
	return wire.object(object.Name.Kind, wire.Era()), nil
}

func (cl *client) delete(ctx context.Context, object Object) error {
	text, err := cl.api.TextOf(object.Revision)
	if err != nil {
		return err
	}
	options := struct {
		Preconditions MetadataWire `json:"preconditions"`
	}{MetadataWire{ResourceVersion: text}}
	return cl.api.Do(ctx, http.MethodDelete, cl.path(object.Name.Kind, object.Name.Name), options, nil)
}

// wire converts an object whose revision the platform calls text.
func (cl *client) wire(object Object, text string) ObjectWire {
	return ObjectWire{
		APIVersion: apiGroup + "/" + apiVersion,
		Kind:       string(object.Name.Kind),
		Metadata:   MetadataWire{Name: object.Name.Name, Namespace: cl.namespace, ResourceVersion: text},
		Data:       object.Body,
	}
}

func (ac *APIClient) send(ctx context.Context, method, path string, input any) (*http.Response, error) {
	var body io.Reader
	if input != nil {
		text, err := json.Marshal(input)
		if err != nil {
			return nil, errors.WithMessage(err, "encode object")
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, ac.base+path, body)
	if err != nil {
		return nil, errors.WithMessage(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	reply, err := ac.http.Do(request)
	if err != nil {
		ac.http.CloseIdleConnections()
		return nil, sendError(err, method)
	}
	return reply, nil
}

// sendError returns the error for a request that got no answer. If the connection
// could not be opened, the platform did not execute the request.
func sendError(err error, method string) *fault.Error {
	failed := fault.Wrap(fault.PlatformUnavailable, err, "call the platform").WithRetryAfter(defaultRetryAfter)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return failed
	}
	return failed.WithOutcome(outcomeOf(method))
}

// outcomeOf returns the outcome of a request that was sent and got no usable answer.
// A GET changes nothing and counts as not run. Any other request may have taken
// effect.
func outcomeOf(method string) fault.Outcome {
	if method == http.MethodGet {
		return fault.NotRun
	}
	return fault.Unknown
}

var statusKinds = map[int]fault.Kind{
	http.StatusNotFound:              fault.NotFound,
	http.StatusConflict:              fault.VersionConflict,
	http.StatusRequestEntityTooLarge: fault.TooLarge,
	http.StatusBadRequest:            fault.InvalidInput,
	http.StatusGone:                  fault.Expired,
}

// statusError returns the error for an answer with an error status. A status that
// statusKinds does not list becomes an error of kind PlatformUnavailable. Its
// outcome is NotRun if the status is 429 or the answer has a Retry-After header in
// seconds, since the platform then did not execute the request. Otherwise the
// outcome depends on the method.
func statusError(reply *http.Response, method, path string) *fault.Error {
	text := "the platform answered " + reply.Status + " for " + path
	if kind, ok := statusKinds[reply.StatusCode]; ok {
		return fault.New(kind, "%s", text)
	}
	failed := fault.New(fault.PlatformUnavailable, "%s", text).WithRetryAfter(defaultRetryAfter)
	seconds, err := strconv.ParseUint(reply.Header.Get("Retry-After"), 10, 16)
	if err == nil && seconds > 0 {
		failed = failed.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	if err == nil || reply.StatusCode == http.StatusTooManyRequests {
		return failed
	}
	return failed.WithOutcome(outcomeOf(method))
}
