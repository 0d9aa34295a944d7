package core_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// TestNamesThatOtherNodesRefuseAreRefusedFirst guards against an announcement that keeps its
// node from talking to others.
func TestNamesThatOtherNodesRefuseAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{strings.Repeat("n", 254), "i\xff"} {
		is.True(fault.Is(core.Announcement{Process: types.ProcessID(name)}.CheckNames(), fault.InvalidInput))
		is.True(fault.Is(core.Announcement{Version: types.UpstreamVersion(name)}.CheckNames(), fault.InvalidInput))
	}
	is.NoErr(core.Announcement{Process: types.ProcessID(strings.Repeat("n", 253))}.CheckNames())
}
