package bench

import (
	"context"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestMain runs the test binary as a node, platform, upstream or latency proxy if
// its arguments ask for one: experiments start their processes that way.
func TestMain(m *testing.M) {
	if code, served := ServeProcess(os.Args[1:]); served {
		os.Exit(code)
	}
	os.Exit(m.Run())
}

// TestConvergeSmoke checks that every configuration change reaches every node of a
// small fleet, and that the results are printed and written to files.
func TestConvergeSmoke(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	dir := t.TempDir()
	runner := NewRunner(&out, WithMode(Smoke), WithDir(dir))
	is.NoErr(Converge(context.Background(), runner, Scale(3)))
	lines := strings.Split(out.String(), "\n")
	counted := 0
	for _, line := range lines {
		if strings.HasPrefix(line, "changes not in force everywhere") {
			counted++
			is.True(strings.Contains(line, " 0.00 … 0.00 ")) // every change is in force on every node
		}
	}
	is.Equal(counted, 2) // one row for the product and one for the baseline
	table, err := os.ReadFile(dir + "/tables.md")
	is.NoErr(err)
	is.True(strings.Contains(string(table), "### converge on scale-3"))
}
