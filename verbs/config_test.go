package verbs_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/verbs"
)

// TestExamples runs the check command on each example configuration.
func TestExamples(t *testing.T) {
	want := map[string]string{
		"board.yaml":       "4 services, 6 routes, 6 upstream rules",
		"weerasinghe.yaml": "4 services, 6 routes, 5 upstream rules",
	}
	files, err := filepath.Glob("../examples/*.yaml")
	if err != nil || len(files) != len(want) {
		t.Fatal(files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(verbs.Main([]string{"check", file}, &out, &errs), 0)
			is.Equal(errs.String(), "")
			is.Equal(out.String(), fmt.Sprintf("%s: %s\n", file, want[filepath.Base(file)]))
		})
	}
}
