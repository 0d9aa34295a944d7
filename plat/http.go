package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
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
)

// Option changes a setting of an HTTP client.
type Option func(*client)

// WithNamespace sets the namespace of all objects.
func WithNamespace(name string) Option {
	return func(cl *client) { cl.namespace = name }
}

// WithTimeout bounds each call other than a watch.
func WithTimeout(limit time.Duration) Option {
	return func(cl *client) { cl.timeout = limit }
}

type client struct {
	base      string
	namespace string
	timeout   time.Duration
	http      *http.Client
}

// NewHTTP returns a store that speaks the object API at a base URL.
func NewHTTP(base string, opts ...Option) *Store {
	cl := &client{base: base, namespace: defaultNamespace, timeout: defaultTimeout, http: &http.Client{Transport: &http.Transport{}}}
	for _, opt := range opts {
		opt(cl)
	}
	return &Store{Get: cl.get, List: cl.list, Put: cl.put, Delete: cl.delete, Watch: cl.watch}
}

// ObjectWire is the JSON form of an object.
type ObjectWire struct {
	APIVersion string       `json:"apiVersion"`
	Kind       string       `json:"kind"`
	Metadata   MetadataWire `json:"metadata"`
	Data       []byte       `json:"data,omitempty"`
}

// MetadataWire is the JSON form of an object's metadata.
type MetadataWire struct {
	Name            string `json:"name"`
	Namespace       string `json:"namespace,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// ListWire is the JSON form of a list of objects.
type ListWire struct {
	Metadata MetadataWire `json:"metadata"`
	Items    []ObjectWire `json:"items"`
}

// WatchWire is the JSON form of one line of a watch.
type WatchWire struct {
	Type   string     `json:"type"`
	Object ObjectWire `json:"object"`
}

func (cl *client) path(kind Kind, name string) string {
	path := cl.base + "/apis/" + apiGroup + "/" + apiVersion + "/namespaces/" + url.PathEscape(cl.namespace) + "/" + string(kind)
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

func (cl *client) get(ctx context.Context, name Name) (Object, error) {
	var wire ObjectWire
	if err := cl.call(ctx, http.MethodGet, cl.path(name.Kind, name.Name), nil, &wire); err != nil {
		return Object{}, err
	}
	return wire.object(name.Kind), nil
}

func (cl *client) list(ctx context.Context, kind Kind) ([]Object, error) {
	var wire ListWire
	if err := cl.call(ctx, http.MethodGet, cl.path(kind, ""), nil, &wire); err != nil {
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
	if err := cl.call(ctx, method, path, cl.wire(object), &wire); err != nil {
		return Object{}, err
	}
	return wire.object(object.Name.Kind), nil
}

func (cl *client) delete(ctx context.Context, object Object) error {
	options := struct {
		Preconditions MetadataWire `json:"preconditions"`
	}{MetadataWire{ResourceVersion: string(object.Revision)}}
	return cl.call(ctx, http.MethodDelete, cl.path(object.Name.Kind, object.Name.Name), options, nil)
}

func (cl *client) wire(object Object) ObjectWire {
	return ObjectWire{
		APIVersion: apiGroup + "/" + apiVersion,
		Kind:       string(object.Name.Kind),
		Metadata:   MetadataWire{Name: object.Name.Name, Namespace: cl.namespace, ResourceVersion: string(object.Revision)},
		Data:       object.Body,
	}
}

func (w ObjectWire) object(kind Kind) Object {
	return Object{Name: Name{Kind: kind, Name: w.Metadata.Name}, Revision: Revision(w.Metadata.ResourceVersion), Body: w.Data}
}

func (cl *client) call(ctx context.Context, method, path string, input, output any) error {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	reply, err := cl.send(ctx, method, path, input)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode >= http.StatusMultipleChoices {
		return statusError(reply, path)
	}
	if output == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(reply.Body, maxReply)).Decode(output)
	if err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "decode the platform's reply")
	}
	return nil
}

func (cl *client) send(ctx context.Context, method, path string, input any) (*http.Response, error) {
	var body io.Reader
	if input != nil {
		text, err := json.Marshal(input)
		if err != nil {
			return nil, errors.WithMessage(err, "encode object")
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, path, body)
	if err != nil {
		return nil, errors.WithMessage(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	reply, err := cl.http.Do(request)
	if err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, err, "call the platform")
	}
	return reply, nil
}

func statusError(reply *http.Response, path string) error {
	kinds := map[int]fault.Kind{
		http.StatusNotFound:              fault.NotFound,
		http.StatusConflict:              fault.VersionConflict,
		http.StatusRequestEntityTooLarge: fault.TooLarge,
		http.StatusBadRequest:            fault.InvalidInput,
	}
	kind, ok := kinds[reply.StatusCode]
	if !ok {
		kind = fault.PlatformUnavailable
	}
	return fault.New(kind, "the platform answered %s for %s", reply.Status, path)
}

func (cl *client) watch(ctx context.Context, name Name, seen func(Object)) error {
	object, err := cl.get(ctx, name)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	if err == nil {
		seen(object)
	}
	query := url.Values{"watch": {"true"}, "resourceVersion": {string(object.Revision)}, "fieldSelector": {"metadata.name=" + name.Name}}
	reply, err := cl.send(ctx, http.MethodGet, cl.path(name.Kind, "")+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return statusError(reply, string(name.Kind))
	}
	return readWatch(reply.Body, name, seen)
}

func readWatch(body io.Reader, name Name, seen func(Object)) error {
	decoder := json.NewDecoder(body)
	for {
		var line WatchWire
		if err := decoder.Decode(&line); err != nil {
			return fault.Wrap(fault.PlatformUnavailable, err, "read watch")
		}
		if line.Type == "ADDED" || line.Type == "MODIFIED" {
			seen(line.Object.object(name.Kind))
		}
	}
}
