package sink_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/sink"
)

func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
	_, stalled := io.Pipe()
	s := sink.New(stalled)
	start := time.Now()
	for range 20_000 {
		_, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), time.Second)
	require.Positive(t, s.Dropped())
	s.Close()
}

func TestLinesAreWrittenInOrderWithoutDrops(t *testing.T) {
	var out bytes.Buffer
	r, w := io.Pipe()
	readDone := make(chan struct{})
	go func() { defer close(readDone); _, _ = io.Copy(&out, r) }()
	s := sink.New(w)
	for range 3 {
		_, _ = s.Write([]byte("a\n"))
		_, _ = s.Write([]byte("b\n"))
	}
	s.Close()
	w.Close()
	<-readDone
	require.Equal(t, strings.Repeat("a\nb\n", 3), out.String())
	require.Zero(t, s.Dropped())
}

// writes records what each call of Write gets.
type writes chan string

func (w writes) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

// A call of write for each line cost an owner more processor time than the line itself.
func TestLinesOfABurstAreWrittenTogether(t *testing.T) {
	const lines = 500
	out := make(writes, lines)
	s := sink.New(out)
	for range lines {
		_, _ = s.Write([]byte("line\n"))
	}
	s.Close()
	close(out)
	calls, text := 0, ""
	for data := range out {
		calls++
		text += data
	}
	require.Equal(t, strings.Repeat("line\n", lines), text)
	require.Less(t, calls, lines/10)
	require.Zero(t, s.Dropped())
}

func TestSingleLineIsWrittenWithoutFurtherLines(t *testing.T) {
	out := make(writes, 1)
	s := sink.New(out)
	defer s.Close()
	for range 3 {
		_, _ = s.Write([]byte("line\n"))
		select {
		case data := <-out:
			require.Equal(t, "line\n", data)
		case <-time.After(10 * time.Second):
			require.Fail(t, "the line was not written")
		}
	}
}

func TestDroppedLinesAreReported(t *testing.T) {
	out := make(writes, 100)
	s := sink.New(out)
	defer s.Close()
	for range 10_000 {
		_, _ = s.Write([]byte("line\n"))
	}
	deadline := time.After(10 * time.Second)
	for {
		select {
		case data := <-out:
			if strings.Contains(data, `"msg":"log lines dropped"`) {
				return
			}
		case <-deadline:
			require.Fail(t, "no report")
		}
	}
}
