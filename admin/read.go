package admin

import (
	"context"
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
)

const (
	readTries   = 3
	readBackoff = 50 * time.Millisecond
	// maxRetryAfter is the longest wait requested by the platform after which this
	// node still retries. If the platform asks for a longer wait, the operator
	// gets the error immediately.
	maxRetryAfter = time.Second
)

// Read returns the configuration that the platform stores. It repeats the read a few
// times if the platform is unavailable.
func (pb *Publisher) Read(ctx context.Context) (conf.Snapshot, error) {
	var snap conf.Snapshot
	err := pb.retry(ctx, func() (err error) {
		snap, err = pb.readOnce(ctx)
		return err
	})
	return snap, err
}

// readOnce is Read without retries.
func (pb *Publisher) readOnce(ctx context.Context) (conf.Snapshot, error) {
	object, root, err := pb.readRootOnce(ctx)
	if err != nil || root.Version == 0 {
		return conf.Snapshot{}, err
	}
	var snap conf.Snapshot
	bundle, err := FetchBundle(ctx, pb.store, object.Body, pb.held())
	if err == nil {
		snap, err = codec.DecodeBundle(bundle)
	}
	if fault.Is(err, fault.ConfigRefused) {
		return conf.Snapshot{}, fault.New(fault.ConfigRefused, "version %d of the platform: %s", root.Version, fault.From(err).Message)
	}
	return snap, err
}

// readRoot reads the root object and decodes it, with retries.
func (pb *Publisher) readRoot(ctx context.Context) (plat.Object, conf.Root, error) {
	var object plat.Object
	var root conf.Root
	err := pb.retry(ctx, func() (err error) {
		object, root, err = pb.readRootOnce(ctx)
		return err
	})
	return object, root, err
}

// readRootOnce reads the root object and decodes it. If the object does not exist,
// the root has version 0.
func (pb *Publisher) readRootOnce(ctx context.Context) (plat.Object, conf.Root, error) {
	object, err := pb.store.Get(ctx, plat.RootName)
	if fault.Is(err, fault.NotFound) {
		return plat.Object{Name: plat.RootName}, conf.Root{}, nil
	}
	if err != nil {
		return plat.Object{}, conf.Root{}, err
	}
	root, err := codec.ReadRoot(object.Body)
	return object, root, err
}

// retry runs an idempotent call and repeats it while the platform is unavailable.
// It runs the call at most readTries times and stops when ctx ends or the
// platform asks for a wait longer than maxRetryAfter.
func (pb *Publisher) retry(ctx context.Context, call func() error) error {
	var err error
	for try := range readTries {
		if try > 0 && !pb.pause(ctx, backoff(try)) {
			break
		}
		err = call()
		if !fault.Is(err, fault.PlatformUnavailable) || fault.From(err).RetryAfter > maxRetryAfter {
			return err
		}
	}
	return err
}

// backoff returns the time to wait before a try, with jitter. The mean wait
// doubles with each try.
func backoff(try int) time.Duration {
	wait := readBackoff << try
	return wait/2 + rand.N(wait)
}

// pause waits for the given time. It returns false if ctx ends first.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
