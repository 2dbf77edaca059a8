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
