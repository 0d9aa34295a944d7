package admin

import (
	"context"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

// commitTries is the maximum number of times that the write of one root is sent.
const commitTries = 3

// commit writes the root. A version counts as accepted when the platform has
// stored its root. If the write conflicts or its outcome is unknown, commit reads
// the root to learn whether the change was accepted. If the root still has the
// revision that the write requires, or can't be read, commit sends the same write
// again. All these writes require the same revision, so at most one of them takes
// effect.
func (pb *Publisher) commit(ctx context.Context, object plat.Object, change Change, content types.Hash) (PublishResult, error) {
	// unanswered is the error of the last write whose outcome is unknown.
	var unanswered error
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
			return PublishResult{}, err
		case known.Outcome != fault.NotRun:
			unanswered = err
		case known.Kind == fault.PlatformUnavailable && unanswered == nil:
			return PublishResult{}, err
		}
		accepted, done, readErr := pb.readBack(ctx, object.Revision, change, content)
		if done {
			return accepted, readErr
		}
		if readErr != nil {
			err = readErr
		}
	}
	if unanswered != nil {
		return PublishResult{}, fault.New(fault.OutcomeUnknown, "the platform did not say whether change %s was accepted: %v", change.ID, unanswered)
	}
	return PublishResult{}, err
}

// acceptedIn returns the version that the written root records for a change.
func acceptedIn(object plat.Object, id types.ChangeID, content types.Hash) (PublishResult, error) {
	root, err := codec.ReadRoot(object.Body)
	if err != nil {
		return PublishResult{}, err
	}
	accepted, _, err := findAccepted(root, id, content)
	return PublishResult{Version: accepted.Version}, err
}

// readBack reads the root to learn whether a write of it took effect. It returns
// true if the outcome is known. This is so in two cases: the root records the
// change, or the root has another revision than the write requires and does not
// record the change. In the second case the write can no longer take effect.
func (pb *Publisher) readBack(ctx context.Context, written plat.Revision, change Change, content types.Hash) (PublishResult, bool, error) {
	object, root, err := pb.readRoot(ctx)
	if err != nil {
		return PublishResult{}, false, err
	}
	if accepted, ok, err := findAccepted(root, change.ID, content); ok {
		return PublishResult{Version: accepted.Version}, true, err
	}
	return PublishResult{}, object.Revision != written, conflict(change.Base, root.Version)
}
