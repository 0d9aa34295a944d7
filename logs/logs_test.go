package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/logs"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	writer := logs.NewWriter(&out)
	for number := range 100 {
		_, err := fmt.Fprintf(writer, "line %d\n", number)
		is.NoErr(err)
	}
	is.NoErr(writer.Close())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 100)
	is.Equal(lines[99], "line 99")
	is.Equal(writer.Dropped(), int64(0))
}

func TestLinesAboveTheRateAreDropped(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	writer := logs.NewWriter(&out, logs.WithRate(0, 10))
	for range 15 {
		_, _ = writer.Write([]byte("line\n"))
	}
	is.NoErr(writer.Close())
	is.Equal(strings.Count(out.String(), "line"), 10)
	is.Equal(writer.Dropped(), int64(5))
}

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (bw blockedWriter) Write(text []byte) (int, error) {
	<-bw.release
	return len(text), nil
}

func TestWriteDoesNotWaitForBlockedOutput(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{release: make(chan struct{})}
	writer := logs.NewWriter(out, logs.WithRate(1e9, 1e9))
	line := bytes.Repeat([]byte("x"), 1<<10)
	for range 4 << 10 {
		_, err := writer.Write(line)
		is.NoErr(err)
	}
	is.True(writer.Dropped() > 0)
	close(out.release)
	is.NoErr(writer.Close())
}
