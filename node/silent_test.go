package node_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/plat"
)

// TestStopGivesUpWritesOfASilentPlatform guards against a node that runs on after its stop
// until the platform has failed to answer the write of a departure.
func TestStopGivesUpWritesOfASilentPlatform(t *testing.T) {
	is := is.New(t)
	var silent atomic.Bool
	began, ended := make(chan bool, 1), make(chan error, 1)
	store := plat.NewMemory().Store()
	put := store.Put
	store.Put = func(ctx context.Context, object plat.Object) (plat.Object, error) {
		if !silent.Load() || object.Name != (plat.Name{Kind: plat.RecordKind, Name: "i0"}) {
			return put(ctx, object)
		}
		select {
		case began <- true:
		default:
		}
		<-ctx.Done()
		select {
		case ended <- ctx.Err():
		default:
		}
		return plat.Object{}, ctx.Err()
	}
	fl := startCrashFleet(t, 2, time.Minute, time.Minute, store)
	fl.publish()
	fl.waitReady(2)
	silent.Store(true)
	fl.nodes[0].Announce(core.Announcement{Ending: true})
	<-began
	fl.leave[0]()
	is.True(errors.Is(<-ended, context.Canceled))
}
