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
	// longestWait is the longest wait of the platform's asking that is spent
	// on a retry instead of passed on to the operator.
	longestWait = time.Second
)

// Read returns the configuration that the platform holds.
func (pb *Publisher) Read(ctx context.Context) (conf.Snapshot, error) {
	var snap conf.Snapshot
	err := pb.retry(ctx, func() (err error) {
		snap, err = pb.readOnce(ctx)
		return err
	})
	return snap, err
}

func (pb *Publisher) readOnce(ctx context.Context) (conf.Snapshot, error) {
	object, root, err := pb.readRootOnce(ctx)
	if err != nil || root.Version == 0 {
		return conf.Snapshot{}, err
	}
	var snap conf.Snapshot
	bundle, err := FetchBundle(ctx, pb.store, object.Body, pb.held())
	if err == nil {
		snap, err = codec.Open(bundle)
	}
	if fault.Is(err, fault.ConfigRefused) {
		return conf.Snapshot{}, fault.New(fault.ConfigRefused, "version %d of the platform: %s", root.Version, fault.From(err).Message)
	}
	return snap, err
}

func (pb *Publisher) readRoot(ctx context.Context) (plat.Object, conf.Root, error) {
	var object plat.Object
	var root conf.Root
	err := pb.retry(ctx, func() (err error) {
		object, root, err = pb.readRootOnce(ctx)
		return err
	})
	return object, root, err
}

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

// retry repeats a call that is safe to repeat while the platform is
// unavailable, a few times and within the context.
func (pb *Publisher) retry(ctx context.Context, call func() error) error {
	var err error
	for try := range readTries {
		if try > 0 && !pb.pause(ctx, backoff(try)) {
			break
		}
		err = call()
		if !fault.Is(err, fault.PlatformUnavailable) || fault.From(err).RetryAfter > longestWait {
			return err
		}
	}
	return err
}

// backoff returns a jittered wait that doubles with each try.
func backoff(try int) time.Duration {
	wait := readBackoff << try
	return wait/2 + rand.N(wait)
}

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
