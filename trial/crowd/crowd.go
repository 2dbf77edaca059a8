// Package crowd holds clients that send requests which the entries' HTTP servers can neither use nor finish: incomplete,
// oversized or endless ones. Tests and the soak start them against entries that run as processes.
package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// dialTimeout limits the time to connect.
	dialTimeout = 5 * time.Second
	// reconnectDelay is the pause after the server has closed a connection or refused it.
	reconnectDelay = 50 * time.Millisecond
	// writeSize is the number of bytes of one write of an endless head or of endless lines.
	writeSize = 8 << 10
	// maxEndless limits what one connection sends of an endless head or of endless lines. Go's default limit of a head is
	// 1 MiB, and nothing is refused below it.
	maxEndless = 1000 << 10
	// pieceSize is the number of bytes of one write of a body that arrives piece by piece, piecePause the pause between them.
	pieceSize, piecePause = 16 << 10, 20 * time.Millisecond
	// missing is the number of bytes that a body lacks.
	missing = 16
	// pipelined is the number of requests that one connection sends without waiting for responses.
	pipelined = 2000
	// fragmentSize is the payload of one WebSocket fragment.
	fragmentSize = 32 << 10
	// unreadBuffer is the size of the receive buffer of a client that reads no responses.
	unreadBuffer = 4 << 10
)

// Target is what clients send their requests to.
type Target struct {
	// Address is the address of the listener and Host the value of the Host header.
	Address, Host string
	// Path is the path of a request that has a body. "%016x" in it stands for the number of the request.
	Path string
	// Header holds further header lines, each ended by CR LF.
	Header string
	// Body is the size of the largest body that is legal.
	Body int
	// Message is the size of the largest legal message on a WebSocket.
	Message int
}

// Kind is a way to misuse a connection.
type Kind string

// The kinds.
const (
	// Whole sends a large body at once, without its last bytes.
	Whole Kind = "whole-body"
	// Pieces sends a large body piece by piece, without its last bytes.
	Pieces Kind = "body-in-pieces"
	// LargeChunks and SmallChunks send a large body in chunks of 32 KiB or of one byte, without its end.
	LargeChunks Kind = "large-chunks"
	SmallChunks Kind = "small-chunks"
	// Steps sends a complete body that decodes into far more memory than it has bytes.
	Steps Kind = "many-steps"
	// LongHead sends a head of 128 KiB that is complete.
	LongHead Kind = "long-head"
	// EndlessHead sends a header line without an end.
	EndlessHead Kind = "endless-head"
	// EndlessLines sends header lines without an end.
	EndlessLines Kind = "endless-header-lines"
	// EmptyLines sends empty lines before a request.
	EmptyLines Kind = "empty-lines"
	// Silent sends nothing.
	Silent Kind = "silent"
	// Unread sends requests and reads no responses.
	Unread Kind = "unread-responses"
	// Pipelined sends many requests with bodies at once.
	Pipelined Kind = "pipelined"
	// Fragments sends a message on a WebSocket in fragments, without its last one. CompressedFragments asks for
	// compression and sends fragments that are marked as compressed.
	Fragments           Kind = "websocket-fragments"
	CompressedFragments Kind = "websocket-compressed"
	// Expecting asks to continue with a large body and sends none of it.
	Expecting Kind = "expect-continue"
	// Trickle sends a large body byte by byte, and LeastRate at little more than the least rate at which bodies have to arrive.
	Trickle   Kind = "trickled-body"
	LeastRate Kind = "body-at-least-rate"
	// Extensions sends chunks of one byte, each with a long extension. Trailers sends a chunk and then trailer lines without an end.
	Extensions Kind = "chunk-extensions"
	Trailers   Kind = "endless-trailers"
	// ManyFields sends a head of legal size that holds as many fields as possible, without its last line.
	ManyFields Kind = "many-header-fields"
	// Complete sends head and body of the largest legal size with one write, again and again.
	Complete Kind = "complete-bodies"
	// HalfClosed sends a part of a body and closes its sending direction.
	HalfClosed Kind = "half-closed"
	// Reconnecting sends a part of a head, closes the connection and opens another.
	Reconnecting Kind = "reconnecting"
)

// BodyKinds are the kinds that send their requests to a path that takes a body, each with few bytes or little processor time for
// a connection, so that they can be sent together.
func BodyKinds() []Kind {
	return []Kind{
		Whole, Pieces, LargeChunks, SmallChunks, LongHead, EndlessHead, EndlessLines, EmptyLines, Silent, Unread, Pipelined, Expecting, Trickle, LeastRate,
		Extensions, Trailers, ManyFields, Complete, HalfClosed, Reconnecting,
	}
}

// Crowd is a number of clients of one kind. Use [Start].
type Crowd struct {
	group  errgroup.Group
	cancel context.CancelFunc
	// Opened counts the connections that were opened.
	Opened atomic.Int64
}

// Start starts clients. Each keeps one connection open and opens another when it is closed.
func Start(t Target, kind Kind, clients int) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel}
	for i := range clients {
		c.group.Go(func() error {
			for n := 0; ctx.Err() == nil; n++ {
				c.connect(ctx, t, kind, uint64(i)<<32|uint64(n)<<12)
				sleep(ctx, reconnectDelay)
			}
			return nil
		})
	}
	return c
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.cancel()
	_ = c.group.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// connect opens a connection and uses it until the server closes it or ctx is done.
func (c *Crowd) connect(ctx context.Context, t Target, kind Kind, first uint64) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return
	}
	c.Opened.Add(1)
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// An error of a write means that the connection is closed.
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if kind == Unread {
		_ = conn.(*net.TCPConn).SetReadBuffer(unreadBuffer)
	} else {
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			cancel()
		}()
	}
	send(ctx, conn, t, kind, first)
	if kind != Reconnecting {
		<-ctx.Done()
	}
}

// request returns the head of a request with a body.
func (t Target) request(method string, number uint64, header string) string {
	path := t.Path
	if strings.Contains(path, "%") {
		path = fmt.Sprintf(path, number)
	}
	return method + " " + path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" + t.Header + header + "\r\n"
}

func contentLength(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n" }

// body returns the beginning of a JSON document of n bytes.
func body(n int) []byte { return []byte(`{"specification":"` + strings.Repeat("x", n)) }

// ManySteps returns a JSON document of n bytes that holds as many steps as possible.
func ManySteps(n int) []byte {
	const begin, end = `{"steps":[{}`, `]}`
	rest := n - len(begin) - len(end)
	return []byte(begin + strings.Repeat(",{}", rest/3) + strings.Repeat(" ", rest%3) + end)
}

// send sends what a kind of client sends on one connection.
func send(ctx context.Context, w io.Writer, t Target, kind Kind, number uint64) {
	head := t.request("POST", number, contentLength(t.Body))
	switch kind {
	case Whole:
		write(w, head, string(body(t.Body)[:t.Body-missing]))
	case Pieces:
		sendPieces(ctx, w, head, body(t.Body)[:t.Body-missing], pieceSize, piecePause)
	case LargeChunks:
		chunk := string(body(fragmentSize)[:fragmentSize])
		sendChunks(w, t, number, chunk, t.Body/len(chunk)-1)
	case SmallChunks:
		sendChunks(w, t, number, "x", t.Body-missing)
	case Steps:
		write(w, head, string(ManySteps(t.Body)))
	case LongHead:
		write(w, t.request("GET", number, "X-Long: "+strings.Repeat("x", 128<<10)+"\r\n"))
	case EndlessHead:
		sendEndless(w, t, number, strings.Repeat("x", writeSize))
	case EndlessLines:
		sendEndless(w, t, number, strings.Repeat("\r\nA: b", writeSize/6))
	case EmptyLines:
		for sent := 0; sent < maxEndless && write(w, strings.Repeat("\r\n", writeSize/2)); sent += writeSize {
		}
	case Unread:
		sendPipelined(w, t, number, "GET", "")
	case Pipelined:
		sendPipelined(w, t, number, "POST", strings.Repeat(" ", 4<<10))
	case Fragments, CompressedFragments:
		sendFragments(w, t, kind == CompressedFragments)
	case Silent:
	default:
		sendPartial(ctx, w, t, kind, number)
	}
}

// write reports whether all was written.
func write(w io.Writer, parts ...string) bool {
	for _, p := range parts {
		if _, err := io.WriteString(w, p); err != nil {
			return false
		}
	}
	return true
}

func sendPieces(ctx context.Context, w io.Writer, head string, content []byte, size int, pause time.Duration) {
	for ok := write(w, head); ok && len(content) > 0; sleep(ctx, pause) {
		n := min(size, len(content))
		ok = write(w, string(content[:n]))
		content = content[n:]
	}
}

func sendChunks(w io.Writer, t Target, number uint64, content string, count int) {
	if !write(w, t.request("POST", number, "Transfer-Encoding: chunked\r\n")) {
		return
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(content), content)
	// Chunks of one byte are sent together, since each write is a call of the system.
	group := max(writeSize/len(chunk), 1)
	for sent := 0; sent < count && write(w, strings.Repeat(chunk, min(group, count-sent))); sent += group {
	}
}

func sendEndless(w io.Writer, t Target, number uint64, piece string) {
	head := strings.TrimSuffix(t.request("POST", number, "X-Long: "), "\r\n")
	for ok, sent := write(w, head), 0; ok && sent < maxEndless; sent += len(piece) {
		ok = write(w, piece)
	}
}

func sendPipelined(w io.Writer, t Target, number uint64, method, content string) {
	for i := range uint64(pipelined) {
		if !write(w, t.request(method, number+i, contentLength(len(content))), content) {
			return
		}
	}
}

// sendFragments opens a WebSocket and sends a message without its last fragment.
func sendFragments(w io.Writer, t Target, compressed bool) {
	header := "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
	const (
		binary, continuation = 0x02, 0x00
		isCompressed         = 0x40
		masked               = 0x80
		length64             = 127
	)
	first := byte(binary)
	if compressed {
		header += "Sec-WebSocket-Extensions: permessage-deflate\r\n"
		first |= isCompressed
	}
	if !write(w, t.request("GET", 0, header)) {
		return
	}
	payload := strings.Repeat("\x00", fragmentSize)
	for sent := 0; sent+fragmentSize <= t.Message-missing; sent += fragmentSize {
		code := byte(continuation)
		if sent == 0 {
			code = first
		}
		// The masking key is zero, so that the payload is sent unchanged.
		frame := []byte{code, masked | length64, 0, 0, 0, 0, 0, 0, fragmentSize >> 8, fragmentSize & 0xff, 0, 0, 0, 0}
		if !write(w, string(frame), payload) {
			return
		}
	}
}
