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
)

const (
	apiGroup         = "sequoiamill.example"
	apiVersion       = "v1"
	defaultNamespace = "default"
	defaultTimeout   = 2 * time.Second
	maxReply         = 64 << 20
	// defaultRetryAfter is the wait when the platform names none.
	defaultRetryAfter = time.Second
)

// keepAlive notices within three seconds that the platform is out of reach, so
// that a waiting watch does not outlive its connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Option changes a setting of an HTTP client.
type Option func(*client)

// WithNamespace sets the namespace of all objects.
func WithNamespace(name string) Option {
	return func(cl *client) { cl.namespace = name }
}

// WithTimeout bounds each call other than a watch.
func WithTimeout(limit time.Duration) Option {
	return func(cl *client) { cl.caller.timeout = limit }
}

// WithWatchTimeout sets after what time a watch is asked to end. A watch that
// stays silent for this long and a margin is dropped and opened again.
func WithWatchTimeout(limit time.Duration) Option {
	return func(cl *client) { cl.watchTimeout = limit }
}

// Caller makes the calls of an object API over HTTP with JSON bodies.
type Caller struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewCaller returns a caller of the API at a base URL.
func NewCaller(base string) *Caller {
	dialer := &net.Dialer{Timeout: defaultTimeout, KeepAliveConfig: keepAlive}
	return &Caller{
		base:    base,
		timeout: defaultTimeout,
		http:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}},
	}
}

// Call makes one call within the caller's timeout and decodes the answer into
// output, unless that is nil.
func (ca *Caller) Call(ctx context.Context, method, path string, input, output any) error {
	return ca.CallWithin(ctx, ca.timeout, method, path, input, output)
}

// CallWithin is Call with another timeout.
func (ca *Caller) CallWithin(ctx context.Context, limit time.Duration, method, path string, input, output any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := ca.send(ctx, method, path, input)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode >= http.StatusMultipleChoices {
		return statusError(reply, method, path)
	}
	if output == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(reply.Body, maxReply)).Decode(output)
	if err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "decode the platform's reply").WithOutcome(outcomeOf(method))
	}
	return nil
}

type client struct {
	caller       *Caller
	namespace    string
	watchTimeout time.Duration
}

// NewHTTP returns a store that speaks the object API at a base URL.
func NewHTTP(base string, opts ...Option) *Store {
	cl := &client{
		caller:       NewCaller(base),
		namespace:    defaultNamespace,
		watchTimeout: defaultWatchTimeout,
	}
	for _, opt := range opts {
		opt(cl)
	}
	return &Store{Get: cl.get, Peek: cl.peek, List: cl.list, Put: cl.put, Delete: cl.delete, Watch: cl.watch}
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
	if err := cl.caller.Call(ctx, http.MethodGet, cl.path(name.Kind, name.Name), nil, &wire); err != nil {
		return Object{}, err
	}
	return wire.object(name.Kind), nil
}

// peek allows the platform to answer from a cache.
func (cl *client) peek(ctx context.Context, name Name) (Object, error) {
	var wire ObjectWire
	if err := cl.caller.Call(ctx, http.MethodGet, cl.path(name.Kind, name.Name)+"?resourceVersion=0", nil, &wire); err != nil {
		return Object{}, err
	}
	return wire.object(name.Kind), nil
}

func (cl *client) list(ctx context.Context, kind Kind) ([]Object, error) {
	var wire ListWire
	if err := cl.caller.Call(ctx, http.MethodGet, cl.path(kind, ""), nil, &wire); err != nil {
		return nil, err
	}
	objects := make([]Object, 0, len(wire.Items))
	for _, item := range wire.Items {
		objects = append(objects, item.object(kind))
	}
	return objects, nil
}

func (cl *client) put(ctx context.Context, object Object) (Object, error) {
	method, path := http.MethodPut, cl.path(object.Name.Kind, object.Name.Name)
	if object.Revision == "" {
		method, path = http.MethodPost, cl.path(object.Name.Kind, "")
	}
	var wire ObjectWire
	if err := cl.caller.Call(ctx, method, path, cl.wire(object), &wire); err != nil {
		return Object{}, err
	}
	return wire.object(object.Name.Kind), nil
}

func (cl *client) delete(ctx context.Context, object Object) error {
	options := struct {
		Preconditions MetadataWire `json:"preconditions"`
	}{MetadataWire{ResourceVersion: string(object.Revision)}}
	return cl.caller.Call(ctx, http.MethodDelete, cl.path(object.Name.Kind, object.Name.Name), options, nil)
}

func (cl *client) wire(object Object) ObjectWire {
	return ObjectWire{
		APIVersion: apiGroup + "/" + apiVersion,
		Kind:       string(object.Name.Kind),
		Metadata:   MetadataWire{Name: object.Name.Name, Namespace: cl.namespace, ResourceVersion: string(object.Revision)},
		Data:       object.Body,
	}
}

func (ca *Caller) send(ctx context.Context, method, path string, input any) (*http.Response, error) {
	var body io.Reader
	if input != nil {
		text, err := json.Marshal(input)
		if err != nil {
			return nil, errors.WithMessage(err, "encode object")
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, ca.base+path, body)
	if err != nil {
		return nil, errors.WithMessage(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	reply, err := ca.http.Do(request)
	if err != nil {
		ca.http.CloseIdleConnections()
		return nil, sendError(err, method)
	}
	return reply, nil
}

func sendError(err error, method string) *fault.Error {
	failed := fault.Wrap(fault.PlatformUnavailable, err, "call the platform").WithRetryAfter(defaultRetryAfter)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return failed
	}
	return failed.WithOutcome(outcomeOf(method))
}

// outcomeOf returns what is known of a call that was sent and not answered.
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

// statusError maps an answer to an error. Every other status than the listed
// ones is PlatformUnavailable. A call that the platform asks to repeat later
// did not run.
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
