package bench

import (
	"context"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestMain runs the processes that an experiment starts from this program.
func TestMain(m *testing.M) {
	if code, served := Serve(os.Args[1:]); served {
		os.Exit(code)
	}
	os.Exit(m.Run())
}

// TestConvergeSmoke shows that every change reaches every node.
func TestConvergeSmoke(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	dir := t.TempDir()
	lab := NewLab(&out, WithMode(Smoke), WithDir(dir))
	is.NoErr(Converge(context.Background(), lab, Scale(3)))
	lines := strings.Split(out.String(), "\n")
	counted := 0
	for _, line := range lines {
		if strings.HasPrefix(line, "changes not in force everywhere") {
			counted++
			is.True(strings.Contains(line, " 0.00 … 0.00 ")) // no change is missing anywhere
		}
	}
	is.Equal(counted, 2) // once for the product and once for its baseline
	table, err := os.ReadFile(dir + "/tables.md")
	is.NoErr(err)
	is.True(strings.Contains(string(table), "### converge on scale-3"))
}
