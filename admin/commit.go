package admin

import (
	"context"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

// commitTries bounds how often one root write is sent.
const commitTries = 3

// commit writes the root, the one step that accepts a version. A write without
// an answer is read back. If the root still has the revision that the write
// depends on, the same write is sent again: both depend on that revision, so
// that at most one of them takes effect.
func (pb *Publisher) commit(ctx context.Context, object plat.Object, change Change, content types.Hash) (Accepted, error) {
	var lost error
	var err error
	for try := range commitTries {
		if try > 0 && !pb.pause(ctx, backoff(try)) {
			break
		}
		var written plat.Object
		written, err = pb.store.Put(ctx, object)
		switch known := fault.From(err); {
		case err == nil:
			return acceptedIn(written, change.ID, content)
		case known.Kind != fault.VersionConflict && known.Kind != fault.PlatformUnavailable:
			return Accepted{}, err
		case known.Outcome != fault.NotRun:
			lost = err
		case known.Kind == fault.PlatformUnavailable && lost == nil:
			return Accepted{}, err
		}
		accepted, done, readErr := pb.readBack(ctx, object.Revision, change, content)
		if done {
			return accepted, readErr
		}
		if readErr != nil {
			err = readErr
		}
	}
	if lost != nil {
		return Accepted{}, fault.New(fault.OutcomeUnknown, "the platform did not say whether change %s was accepted: %v", change.ID, lost)
	}
	return Accepted{}, err
}

func acceptedIn(object plat.Object, id types.ChangeID, content types.Hash) (Accepted, error) {
	root, err := codec.ReadRoot(object.Body)
	if err != nil {
		return Accepted{}, err
	}
	accepted, _, err := repeated(root, id, content)
	return Accepted{Version: accepted.Version}, err
}

// readBack learns whether a root write took effect. It is done if the root
// names the change or has moved on without it.
func (pb *Publisher) readBack(ctx context.Context, written plat.Revision, change Change, content types.Hash) (Accepted, bool, error) {
	object, root, err := pb.readRoot(ctx)
	if err != nil {
		return Accepted{}, false, err
	}
	if accepted, ok, err := repeated(root, change.ID, content); ok {
		return Accepted{Version: accepted.Version}, true, err
	}
	return Accepted{}, object.Revision != written, conflict(change.Base, root.Version)
}
