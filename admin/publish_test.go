package admin_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/admin"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

// fixture is an in-memory store with a virtual clock. Tests replace the functions
// of the embedded Store to simulate failures of the platform.
type fixture struct {
	*plat.Store
	memory *plat.Memory
	now    time.Time
	pauses int
}

func newFixture() *fixture {
	memory := plat.NewMemory()
	return &fixture{Store: memory.Store(), memory: memory, now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)}
}

func (fx *fixture) publisher() *admin.Publisher {
	pause := func(_ context.Context, wait time.Duration) bool {
		fx.pauses++
		fx.now = fx.now.Add(wait)
		return true
	}
	return admin.NewPublisher(fx.Store, admin.WithNow(func() time.Time { return fx.now }), admin.WithPause(pause))
}

// replaceRootPut replaces each write of the root by a call of fail. The function
// fail receives the number of the write, starting at 1, and can call write to
// perform the write.
func (fx *fixture) replaceRootPut(fail func(try int, write func() (plat.Object, error)) (plat.Object, error)) {
	put, try := fx.Put, 0
	fx.Put = func(ctx context.Context, object plat.Object) (plat.Object, error) {
		if object.Name != plat.RootName {
			return put(ctx, object)
		}
		try++
		return fail(try, func() (plat.Object, error) { return put(ctx, object) })
	}
}

func services(names ...string) conf.Config {
	var config conf.Config
	for _, name := range names {
		config.Services = append(config.Services, conf.Service{Name: types.ServiceName(name)})
	}
	return config
}

func replace(id string, base types.Version, names ...string) admin.Change {
	return admin.Change{ID: types.ChangeID(id), Base: base, Config: services(names...), Replace: true}
}

func unavailable(outcome fault.Outcome) error {
	return fault.New(fault.PlatformUnavailable, "down").WithOutcome(outcome).WithRetryAfter(time.Second)
}

// TestConcurrentChangesMakeOneVersion checks that only one of several changes with
// the same base version is accepted.
func TestConcurrentChangesMakeOneVersion(t *testing.T) {
	is := is.New(t)
	fx := newFixture()
	_, err := fx.publisher().Publish(t.Context(), replace("first", 0, "a"))
	is.NoErr(err)
	const operators = 8
	results := make([]error, operators)
	var group sync.WaitGroup
	for number := range operators {
		group.Go(func() {
			publisher := admin.NewPublisher(fx.Store)
			_, results[number] = publisher.Publish(t.Context(), replace(fmt.Sprint("change-", number), 1, fmt.Sprint("s", number)))
		})
	}
	group.Wait()
	snap, err := fx.publisher().Read(t.Context())
	is.NoErr(err)
	is.Equal(snap.Version(), types.Version(2))
	for number, err := range results {
		won := snap.Root().Change == types.ChangeID(fmt.Sprint("change-", number))
		is.Equal(won, err == nil)
		is.Equal(won, snap.HasService(types.ServiceName(fmt.Sprint("s", number))))
		if !won {
			is.Equal(err.Error(), "version-conflict: the change is based on version 1, the current version is 2")
		}
	}
}

// TestUnansweredRootWrite makes a write of the root fail without a clear outcome:
// the request or the answer is lost, the write takes effect late, or the platform
// is down. It checks the result of Publish and whether the change took effect.
func TestUnansweredRootWrite(t *testing.T) {
	type write = func() (plat.Object, error)
	noWrite := func() (plat.Object, error) { return plat.Object{}, nil }
	lose := func(write write) (plat.Object, error) {
		object, _ := write()
		return object, unavailable(fault.Unknown)
	}
	tests := []struct {
		name    string
		fail    func(fx *fixture) func(try int, write write) (plat.Object, error)
		kind    fault.Kind
		version types.Version
	}{
		{"written, answer lost", func(*fixture) func(int, write) (plat.Object, error) {
			return func(_ int, write write) (plat.Object, error) { return lose(write) }
		}, 0, 1},
		{"request lost", func(*fixture) func(int, write) (plat.Object, error) {
			return func(try int, write write) (plat.Object, error) {
				if try == 1 {
					return lose(noWrite)
				}
				return write()
			}
		}, 0, 1},
		{"written late", func(*fixture) func(int, write) (plat.Object, error) {
			var late write
			return func(try int, write write) (plat.Object, error) {
				if try == 1 {
					late = write
					return lose(noWrite)
				}
				_, _ = late()
				return write()
			}
		}, 0, 1},
		{"written by another operator", func(fx *fixture) func(int, write) (plat.Object, error) {
			return func(try int, write write) (plat.Object, error) {
				if try == 1 {
					_, _ = admin.NewPublisher(fx.memory.Store()).Publish(context.Background(), replace("other", 0, "b"))
					return lose(noWrite)
				}
				return write()
			}
		}, fault.VersionConflict, 1},
		{"never answered", func(*fixture) func(int, write) (plat.Object, error) {
			return func(int, write) (plat.Object, error) { return lose(noWrite) }
		}, fault.OutcomeUnknown, 0},
		{"down after the write", func(fx *fixture) func(int, write) (plat.Object, error) {
			return func(_ int, write write) (plat.Object, error) {
				fx.Get = func(context.Context, plat.Name) (plat.Object, error) {
					return plat.Object{}, unavailable(fault.NotRun)
				}
				return lose(write)
			}
		}, fault.OutcomeUnknown, 1},
		{"refused", func(*fixture) func(int, write) (plat.Object, error) {
			return func(int, write) (plat.Object, error) { return plat.Object{}, unavailable(fault.NotRun) }
		}, fault.PlatformUnavailable, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture()
			fx.replaceRootPut(test.fail(fx))
			accepted, err := fx.publisher().Publish(t.Context(), replace("mine", 0, "a"))
			is.Equal(fault.Is(err, test.kind), err != nil)
			is.Equal(err != nil, test.kind != 0)
			if err == nil {
				is.Equal(accepted, admin.PublishResult{Version: test.version})
			}
			snap, err := admin.NewPublisher(fx.memory.Store()).Read(t.Context())
			is.NoErr(err)
			is.Equal(snap.Version(), test.version)
		})
	}
}

func TestRepeatedChange(t *testing.T) {
	is := is.New(t)
	fx := newFixture()
	publisher := fx.publisher()
	const changes = 70
	for number := range changes {
		_, err := publisher.Publish(t.Context(), replace(fmt.Sprint("c", number), types.Version(number), "a", fmt.Sprint("s", number)))
		is.NoErr(err)
	}
	for _, base := range []types.Version{60, changes} {
		accepted, err := publisher.Publish(t.Context(), replace("c60", base, "s60", "a"))
		is.NoErr(err)
		is.Equal(accepted, admin.PublishResult{Version: 61, Repeated: true})
	}
	_, err := publisher.Publish(t.Context(), replace("c60", 60, "a"))
	is.True(fault.Is(err, fault.KeyReused))
	_, err = publisher.Publish(t.Context(), replace("c0", 0, "a", "s0"))
	is.True(fault.Is(err, fault.VersionConflict))
	for _, id := range []string{"", strings.Repeat("x", 129)} {
		_, err = publisher.Publish(t.Context(), replace(id, changes, "a"))
		is.True(fault.Is(err, fault.InvalidInput))
	}
}

func TestMergedChange(t *testing.T) {
	is := is.New(t)
	publisher := newFixture().publisher()
	_, err := publisher.Publish(t.Context(), replace("1", 0, "a", "b"))
	is.NoErr(err)
	merge := admin.Change{ID: "2", Base: 1, Config: services("c"), Delete: []conf.Key{{Kind: conf.ServiceKind, Name: "a"}}}
	_, err = publisher.Publish(t.Context(), merge)
	is.NoErr(err)
	snap, err := publisher.Read(t.Context())
	is.NoErr(err)
	is.Equal(snap.Config(), services("b", "c"))
	merge.ID, merge.Base = "3", 2
	_, err = publisher.Publish(t.Context(), merge)
	is.True(fault.Is(err, fault.NotFound))
	merge.Replace = true
	_, err = publisher.Publish(t.Context(), merge)
	is.True(fault.Is(err, fault.InvalidInput))
}

func TestDamagedPackIsReplaced(t *testing.T) {
	damages := map[string]func(fx *fixture, object plat.Object) error{
		"wrong content": func(fx *fixture, object plat.Object) error {
			_, err := fx.Put(context.Background(), object.WithBody([]byte("{}")))
			return err
		},
		"missing": func(fx *fixture, object plat.Object) error { return fx.Delete(context.Background(), object) },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture()
			_, err := fx.publisher().Publish(t.Context(), replace("1", 0, "a"))
			is.NoErr(err)
			packs, err := fx.List(t.Context(), plat.BodyKind)
			is.NoErr(err)
			is.NoErr(damage(fx, packs[0]))
			_, err = fx.publisher().Read(t.Context())
			is.True(fault.Is(err, fault.ConfigRefused))
			_, err = fx.publisher().Publish(t.Context(), replace("2", 1, "a", "b"))
			is.NoErr(err)
			snap, err := fx.publisher().Read(t.Context())
			is.NoErr(err)
			is.Equal(snap.Config(), services("a", "b"))
		})
	}
	t.Run("created concurrently with wrong content", func(t *testing.T) {
		is := is.New(t)
		fx := newFixture()
		put := fx.Put
		fx.Put = func(ctx context.Context, object plat.Object) (plat.Object, error) {
			if object.Name.Kind == plat.BodyKind && object.Revision == "" {
				_, _ = put(ctx, object.WithBody([]byte("other")))
			}
			return put(ctx, object)
		}
		_, err := fx.publisher().Publish(t.Context(), replace("1", 0, "a"))
		is.NoErr(err)
		_, err = fx.publisher().Read(t.Context())
		is.NoErr(err)
	})
}

func TestUnavailablePlatform(t *testing.T) {
	tests := []struct {
		name  string
		wait  time.Duration
		calls int
	}{
		{"down", time.Second, 3},
		{"over its call limit", 2 * time.Second, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fx, calls := newFixture(), 0
			fx.Get = func(context.Context, plat.Name) (plat.Object, error) {
				calls++
				return plat.Object{}, fault.New(fault.PlatformUnavailable, "no").WithRetryAfter(test.wait)
			}
			_, err := fx.publisher().Publish(t.Context(), replace("1", 0, "a"))
			is.True(fault.Is(err, fault.PlatformUnavailable))
			is.Equal(fault.From(err).RetryAfter, test.wait)
			is.Equal(calls, test.calls)
		})
	}
}

// TestBadRootIsReplaced stores a root that no node adopts, because the root can't
// be decoded or its version is lower than the nodes' version. It checks that the
// next change replaces this root. The change must fail if the root can't be
// decoded and another node holds a later version than this node.
func TestBadRootIsReplaced(t *testing.T) {
	tests := []struct {
		name  string
		body  string
		base  types.Version
		floor types.Version
		err   string
	}{
		{"unreadable", "{", 1, 1, ""},
		{"unreadable and another node is ahead", "{", 1, 2, "config-refused: decode root: unexpected EOF"},
		{"older version", `{"version":1,"change-id":"old","packs":null,"entries":null,"recent":null}`, 1, 7, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture()
			_, err := fx.publisher().Publish(t.Context(), replace("1", 0, "a"))
			is.NoErr(err)
			object, err := fx.Get(t.Context(), plat.RootName)
			is.NoErr(err)
			_, err = fx.Put(t.Context(), object.WithBody([]byte(test.body)))
			is.NoErr(err)
			publisher := admin.NewPublisher(fx.Store,
				admin.WithHeld(func() conf.Bundle { return conf.Bundle{RootBody: object.Body} }),
				admin.WithFloor(func() types.Version { return test.floor }))
			accepted, err := publisher.Publish(t.Context(), replace("2", test.base, "b"))
			if test.err != "" {
				is.Equal(err.Error(), test.err)
				return
			}
			is.NoErr(err)
			is.Equal(accepted.Version, test.floor+1)
			snap, err := publisher.Read(t.Context())
			is.NoErr(err)
			is.Equal(snap.Config(), services("b"))
		})
	}
}

// checkReadable returns an error unless all packs of a root are stored undamaged.
func checkReadable(store *plat.Store, rootBody []byte) error {
	bundle, err := admin.FetchBundle(context.Background(), store, rootBody, conf.Bundle{})
	if err == nil {
		_, err = codec.DecodeBundle(bundle)
	}
	return err
}

// TestUnusedPacksAreDeleted checks that a version stays readable when it was replaced
// less than conf.PackRetention ago, and that the number of stored packs stays bounded.
func TestUnusedPacksAreDeleted(t *testing.T) {
	is := is.New(t)
	fx := newFixture()
	publisher := fx.publisher()
	const changes, interval = 120, 12 * time.Minute
	var roots [][]byte
	for number := range changes {
		_, err := publisher.Publish(t.Context(), replace(fmt.Sprint(number), types.Version(number), "a", fmt.Sprint("s", number)))
		is.NoErr(err)
		object, err := fx.Get(t.Context(), plat.RootName)
		is.NoErr(err)
		roots = append(roots, object.Body)
		fx.now = fx.now.Add(interval)
		if late := len(roots) - int(conf.PackRetention/interval); late >= 0 {
			is.NoErr(checkReadable(fx.Store, roots[late]))
		}
	}
	packs, err := fx.List(t.Context(), plat.BodyKind)
	is.NoErr(err)
	is.True(len(packs) <= int(conf.PackRetention/interval)+5)
	err = checkReadable(fx.Store, roots[1])
	is.True(fault.Is(err, fault.PlatformUnavailable))
}

// TestDeletionKeepsNamedPacks checks that a pack that the current root refers to
// is never deleted. The publishers restore earlier contents, whose packs may
// already be due for deletion, publish concurrently and delete packs late.
func TestDeletionKeepsNamedPacks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fx := newFixture()
		var late []func()
		lateDeletes := *fx.Store
		committed := false
		lateDeletes.Put = func(ctx context.Context, object plat.Object) (plat.Object, error) {
			written, err := fx.memory.Put(ctx, object)
			committed = committed || object.Name == plat.RootName
			return written, err
		}
		lateDeletes.Delete = func(ctx context.Context, object plat.Object) error {
			if !committed {
				return fx.memory.Delete(ctx, object)
			}
			late = append(late, func() { _ = fx.memory.Delete(ctx, object) })
			return nil
		}
		slow := admin.NewPublisher(&lateDeletes, admin.WithNow(func() time.Time { return fx.now }))
		id := 0
		publish := func(publisher *admin.Publisher) {
			root, err := fx.publisher().Read(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			id++
			content := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "content"))
			_, err = publisher.Publish(context.Background(), replace(fmt.Sprint(id), root.Version(), content))
			if err != nil && !fault.Is(err, fault.VersionConflict) {
				t.Fatal(err)
			}
		}
		lateDeletes.List = func(ctx context.Context, kind plat.Kind) ([]plat.Object, error) {
			objects, err := fx.memory.List(ctx, kind)
			if rapid.Bool().Draw(t, "race") {
				publish(fx.publisher())
			}
			return objects, err
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			fx.now = fx.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "minutes")) * time.Minute)
			committed = false
			publish(slow)
			if len(late) > 0 && rapid.Bool().Draw(t, "delete") {
				late[0]()
				late = late[1:]
			}
			object, err := fx.Get(context.Background(), plat.RootName)
			if err == nil {
				err = checkReadable(fx.Store, object.Body)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	})
}
