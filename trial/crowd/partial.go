package crowd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// tricklePause is the pause between two bytes of a body that arrives byte by byte.
	tricklePause = 200 * time.Millisecond
	// rateSize and ratePause are of a body that arrives at 100 KiB/s. The least rate is 85 KiB/s.
	rateSize, ratePause = 2 << 10, 20 * time.Millisecond
	// extensionSize is the size of a chunk extension. Go's server reads a chunk's first line up to 4 KiB.
	extensionSize = 3 << 10
	// headSize is the largest size of a legal head.
	headSize = 16 << 10
	// completePause is the pause between two complete requests on a connection.
	completePause = 500 * time.Millisecond
)

// sendPartial sends what clients send that are slow, or that leave a part of the protocol unfinished.
func sendPartial(ctx context.Context, w io.Writer, t Target, kind Kind, number uint64) {
	head := t.request("POST", number, contentLength(t.Body))
	switch kind {
	case Expecting:
		write(w, t.request("POST", number, contentLength(t.Body)+"Expect: 100-continue\r\n"))
	case Trickle:
		sendPieces(ctx, w, head, body(t.Body)[:t.Body-missing], 1, tricklePause)
	case LeastRate:
		sendPieces(ctx, w, head, body(t.Body)[:t.Body-missing], rateSize, ratePause)
	case Extensions:
		sendExtensions(w, t, number)
	case Trailers:
		sendTrailers(w, t, number)
	case ManyFields:
		sendFields(w, t, number)
	case Complete:
		sendComplete(ctx, w, t, number)
	case HalfClosed:
		write(w, head, string(body(t.Body)[:t.Body/2]))
		if c, ok := w.(interface{ CloseWrite() error }); ok {
			// An error means that the connection is closed.
			_ = c.CloseWrite()
		}
	case Reconnecting:
		write(w, strings.TrimSuffix(head, "\r\n"))
	}
}

func sendExtensions(w io.Writer, t Target, number uint64) {
	if !write(w, t.request("POST", number, "Transfer-Encoding: chunked\r\n")) {
		return
	}
	chunk := "1;" + strings.Repeat("x", extensionSize) + "\r\nx\r\n"
	for sent := 0; sent < t.Body-missing && write(w, chunk); sent++ {
	}
}

func sendTrailers(w io.Writer, t Target, number uint64) {
	if !write(w, t.request("POST", number, "Trailer: A\r\nTransfer-Encoding: chunked\r\n"), "1\r\n{\r\n0\r\n") {
		return
	}
	lines := strings.Repeat("A: b\r\n", writeSize/6)
	for sent := 0; sent < maxEndless && write(w, lines); sent += len(lines) {
	}
}

func sendFields(w io.Writer, t Target, number uint64) {
	head := strings.TrimSuffix(t.request("POST", number, ""), "\r\n")
	for i := 0; len(head) < headSize-missing; i++ {
		head += fmt.Sprintf("%x:\r\n", i)
	}
	write(w, head)
}

// sendComplete sends requests whose bodies are complete and no jobs.
func sendComplete(ctx context.Context, w io.Writer, t Target, number uint64) {
	content := strings.Repeat(" ", t.Body)
	for ok := true; ok && ctx.Err() == nil; number++ {
		ok = write(w, t.request("POST", number, contentLength(t.Body))+content)
		sleep(ctx, completePause)
	}
}
