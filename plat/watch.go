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
	// watchMargin is added to the timeout that is requested for a watch. A watch
	// on which nothing arrives for this sum is treated as lost.
	watchMargin = time.Second
	// reopenPause is the pause before a watch is opened again. It limits the rate
	// of requests if the platform ends each watch immediately.
	reopenPause = 100 * time.Millisecond
)

var (
	// errWatchEnded means that the platform ended the watch, for example at the
	// requested timeout, or sent nothing for too long. The watch is reopened at
	// the last revision that it reported.
	errWatchEnded = errors.New("the watch ended")
	// errExpired means that the platform no longer knows the revision from which
	// the watch should continue, or has come back from an older copy. The object is
	// read again before the watch is reopened.
	errExpired = errors.New("the revision expired")
)

// watch implements Store.Watch. It reads the object and then opens a watch. When the
// platform ends the watch or sends nothing for too long, it opens a new one. When the
// revision has expired, it reads the object again first.
func (cl *client) watch(ctx context.Context, name Name, onChange func(Object)) error {
	var last Revision
	mustRead := true
	for {
		if mustRead {
			object, err := cl.get(ctx, name)
			if err != nil && !fault.Is(err, fault.NotFound) {
				return err
			}
			if object.Revision != last {
				last = object.Revision
				onChange(object)
			}
		}
		err := cl.watchOnce(ctx, name, &last, onChange)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !errors.Is(err, errWatchEnded) && !errors.Is(err, errExpired) {
			return err
		}
		mustRead = errors.Is(err, errExpired)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reopenPause):
		}
	}
}

// watchOnce opens one watch at the revision last and reads its events until the
// watch ends or the platform sends nothing for too long. It sets last to the revision
// of each event that it handles.
func (cl *client) watchOnce(ctx context.Context, name Name, last *Revision, onChange func(Object)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(cl.watchTimeout+watchMargin, cancel)
	defer silenceTimer.Stop()
	from, err := cl.api.TextOf(*last)
	if err != nil {
		return errExpired
	}
	reply, err := cl.api.send(ctx, http.MethodGet, cl.path(name.Kind, "")+"?"+cl.watchQuery(name, from).Encode(), nil)
	if err != nil {
		return watchError(ctx, err)
	}
	defer func() { _ = reply.Body.Close() }()
	era := cl.api.era.observe(reply.Header)
	if reply.StatusCode == http.StatusGone || *last != "" && era != last.Era() {
		return errExpired
	}
	if reply.StatusCode != http.StatusOK {
		return statusError(reply, http.MethodGet, string(name.Kind))
	}
	decoder := json.NewDecoder(reply.Body)
	for {
		var event WatchWire
		if err := decoder.Decode(&event); err != nil {
			return watchError(ctx, err)
		}
		silenceTimer.Reset(cl.watchTimeout + watchMargin)
		if cl.api.Era() != era {
			return errExpired
		}
		if err := event.apply(name, era, last, onChange); err != nil {
			return err
		}
	}
}

func (cl *client) watchQuery(name Name, from string) url.Values {
	query := url.Values{
		"watch":               {"true"},
		"allowWatchBookmarks": {"true"},
		"timeoutSeconds":      {strconv.Itoa(max(1, int(cl.watchTimeout/time.Second)))},
		"fieldSelector":       {"metadata.name=" + name.Name},
	}
	if from != "" {
		query.Set("resourceVersion", from)
	}
	return query
}

// watchError returns the error with which a watch ends. The result is errWatchEnded
// if the platform closed the watch or ctx was canceled, which also happens when
// nothing arrived for too long. Otherwise it is a PlatformUnavailable error.
func watchError(ctx context.Context, err error) error {
	if errors.Is(err, io.EOF) || ctx.Err() != nil {
		return errWatchEnded
	}
	if known := fault.From(err); known.Kind == fault.PlatformUnavailable {
		return known
	}
	return fault.Wrap(fault.PlatformUnavailable, err, "read watch").WithRetryAfter(defaultRetryAfter)
}

// apply handles one event of a watch. A bookmark only sets last to a newer revision.
// A deletion is ignored.
func (w WatchWire) apply(name Name, era Era, last *Revision, onChange func(Object)) error {
	object := w.Object.object(name.Kind, era)
	switch w.Type {
	case "ADDED", "MODIFIED":
		*last = object.Revision
		onChange(object)
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
