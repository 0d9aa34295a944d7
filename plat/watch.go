package plat

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/fault"
)

const (
	defaultWatchTimeout = 4 * time.Second
	// watchMargin is the silence after the asked end of a watch that shows
	// that its connection is lost.
	watchMargin = time.Second
	// reopenPause bounds how often a watch that ends at once is opened again.
	reopenPause = 100 * time.Millisecond
)

var (
	// errWatchEnded is a planned end or a silence: the watch goes on from the
	// last revision.
	errWatchEnded = errors.New("the watch ended")
	// errExpired is a revision that the platform no longer knows.
	errExpired = errors.New("the revision expired")
)

// watch follows one object. It opens the watch again when the platform ends it
// or when it is silent, and reads the object afresh when its revision expired.
func (cl *client) watch(ctx context.Context, name Name, seen func(Object)) error {
	var last Revision
	fresh := true
	for {
		if fresh {
			object, err := cl.get(ctx, name)
			if err != nil && !fault.Is(err, fault.NotFound) {
				return err
			}
			if object.Revision != last {
				last = object.Revision
				seen(object)
			}
		}
		err := cl.follow(ctx, name, &last, seen)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !errors.Is(err, errWatchEnded) && !errors.Is(err, errExpired) {
			return err
		}
		fresh = errors.Is(err, errExpired)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reopenPause):
		}
	}
}

// follow reads one watch from a revision until it ends or falls silent.
func (cl *client) follow(ctx context.Context, name Name, last *Revision, seen func(Object)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(cl.watchTimeout+watchMargin, cancel)
	defer silence.Stop()
	reply, err := cl.caller.send(ctx, http.MethodGet, cl.path(name.Kind, "")+"?"+cl.watchQuery(name, *last).Encode(), nil)
	switch {
	case err != nil:
		return ended(ctx, err)
	case reply.StatusCode == http.StatusGone:
		_ = reply.Body.Close()
		return errExpired
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return statusError(reply, http.MethodGet, string(name.Kind))
	}
	decoder := json.NewDecoder(reply.Body)
	for {
		var line WatchWire
		if err := decoder.Decode(&line); err != nil {
			return ended(ctx, err)
		}
		silence.Reset(cl.watchTimeout + watchMargin)
		if err := line.apply(name, last, seen); err != nil {
			return err
		}
	}
}

func (cl *client) watchQuery(name Name, last Revision) url.Values {
	query := url.Values{
		"watch":               {"true"},
		"allowWatchBookmarks": {"true"},
		"timeoutSeconds":      {strconv.Itoa(max(1, int(cl.watchTimeout/time.Second)))},
		"fieldSelector":       {"metadata.name=" + name.Name},
	}
	if last != "" {
		query.Set("resourceVersion", string(last))
	}
	return query
}

// ended tells a planned end and a silence from a failure.
func ended(ctx context.Context, err error) error {
	if errors.Is(err, io.EOF) || ctx.Err() != nil {
		return errWatchEnded
	}
	if known := fault.From(err); known.Kind == fault.PlatformUnavailable {
		return known
	}
	return fault.Wrap(fault.PlatformUnavailable, err, "read watch").WithRetryAfter(defaultRetryAfter)
}

func (w WatchWire) apply(name Name, last *Revision, seen func(Object)) error {
	object := w.Object.object(name.Kind)
	switch w.Type {
	case "ADDED", "MODIFIED":
		*last = object.Revision
		seen(object)
	case "BOOKMARK":
		*last = object.Revision
	case "ERROR":
		if w.Object.Code == http.StatusGone {
			return errExpired
		}
		return fault.New(fault.PlatformUnavailable, "the platform ended the watch with code %d", w.Object.Code)
	}
	return nil
}
