// Package shed decides how much the clients of a process may hold together, and which clients lose what they hold when
// that is used up. It knows neither the clock nor the network.
package shed

import (
	"cmp"
	"slices"
	"time"
)

const (
	// byteShare and connectionShare are the shares of the memory of a process that bodies, heads and frames, and connections
	// may take. With the garbage that the runtime leaves before it collects, both stay under the runtime's soft limit of 0.6.
	byteShare, connectionShare = 0.2, 0.25
	// smallShare is the share of the bytes that only small reservations take, so that large ones cannot use up all.
	smallShare = 0.25
	// frameShare and forwardShare are the shares of the bytes that frames of links take while they arrive, and requests of
	// other entries while they run. Neither callers nor those who send parts of frames can use up the latter.
	frameShare, forwardShare = 0.1, 0.1
	// decodeShare is the memory of decoded forms against the bytes. Links have smallShare of it.
	decodeShare = 0.25
	// SmallBytes is the size up to which a reservation is small.
	SmallBytes = 16 << 10
	// FreeBytes is the size of a head, and of a body, that counts with the connection, so that small requests reserve nothing.
	FreeBytes = 4 << 10
	// headFactor is the memory that a head takes for each byte, and lineBytes that for each line: a field becomes two strings, a
	// list and an entry of a map that doubles as it grows.
	headFactor, lineBytes = 4, 128
	// MinLineBytes is the size of the shortest header line that the server accepts, and usualLineBytes one below that of most.
	MinLineBytes, usualLineBytes = 3, 16
	// receiveBuffer and peerBuffer are the sizes of the receive buffers that connections of clients and of peers ask the
	// kernel for. The kernel takes up to 1.5 and 2 times as much (24,576 and 127,576 bytes measured). A body of 256 KiB
	// arrives within 0.3 s at a round-trip time of 20 ms; links between entries carry the requests of many callers.
	receiveBuffer, peerBuffer = 16 << 10, 64 << 10
	// sendBuffer is the size of the send buffers of connections of clients, of which the kernel takes twice as much for
	// responses that a client does not take. 4 MiB are sent within 1.3 s at a round-trip time of 20 ms. Links have peerBuffer.
	sendBuffer = 32 << 10
	// connectionBytes is what a connection takes: 24 KiB unread in the kernel, and 24 KiB for stacks, buffers and
	// the header and body of a small request. TLS takes tlsBytes more: records of 16 KiB in both directions and the handshake.
	connectionBytes, tlsBytes = 48 << 10, 48 << 10
	// reservedDescriptors are those that the platform reserves for files.
	reservedDescriptors = 200
	// acceptedShare is the share of the other descriptors that accepted connections may take. The rest is for
	// connections to hosts, peers and the store.
	acceptedShare = 0.75
	// defaultMemory and defaultDescriptors are the smallest that the platform states.
	defaultMemory, defaultDescriptors = 184 << 20, 4100
	// MinRate is the rate, in bytes a second, below which a body or a frame makes little progress: the largest legal body,
	// 256 KiB, arrives in the 3 s of a request's deadline. The slowest link, of 10 Mbit/s, carries 14 times as much.
	MinRate = (256 << 10) / 3
	// StartTime is the time beyond that of [MinRate] that a body or frame may take. It is the deadline of a request.
	StartTime = 3 * time.Second
	// quietTime is the time without progress after which a client can lose what it holds. A link that carries anything
	// delivers a segment in a small part of it.
	quietTime = 500 * time.Millisecond
	// freshTime is the time without progress after which a connection can be closed for others that has carried no request
	// yet. Clients send one as soon as they have connected.
	freshTime = 25 * time.Millisecond
)

// Listener names a listener of a process.
type Listener string

// The listeners.
const (
	Callers   Listener = "callers"
	Peers     Listener = "peers"
	Readiness Listener = "readiness"
	Metrics   Listener = "metrics"
)

// TakesBodies reports whether requests at a listener have bodies.
func TakesBodies(name Listener) bool { return name == Callers }

// connectionShares holds the share of the accepted connections of each listener. No listener can take the places of another.
var connectionShares = map[Listener]float64{Callers: 0.6875, Peers: 0.1875, Readiness: 0.0625, Metrics: 0.0625}

// Share is a part of the bytes that clients may hold together.
type Share int

// The shares.
const (
	SmallShare Share = iota
	LargeShare
	FrameShare
	ForwardShare
	// Shares is the number of shares.
	Shares
)

// Limits are what clients may hold together. Sizes are in bytes.
type Limits struct {
	// Large and Small limit the reservations above [SmallBytes], and up to it.
	Large, Small int64
	// Frames limits frames of links while they arrive, and Forwarded the requests of other entries. Both may take from the
	// other two shares too, but for the first frame of a link.
	Frames, Forwarded int64
	// Decode limits the memory of the decoded forms of callers' messages that are built at a time, and DecodeLinks those of
	// frames of links.
	Decode, DecodeLinks int64
	// Connections limits the connections of each listener.
	Connections map[Listener]int
	// Encrypted tells that connections use TLS, so that heads are known by their bytes only.
	Encrypted bool
}

// ReceiveBuffer returns the size of the receive buffer of a connection of a listener.
func ReceiveBuffer(name Listener) int {
	if name == Peers {
		return peerBuffer
	}
	return receiveBuffer
}

// SendBuffer returns the size of the send buffer of a connection of a listener.
func SendBuffer(name Listener) int {
	if name == Peers {
		return peerBuffer
	}
	return sendBuffer
}

// Process is what limits are derived from. What is 0 is the smallest that the platform states.
type Process struct {
	// Memory is the memory that the process may hold, in bytes, and Descriptors the number of those that it may open.
	Memory      int64
	Descriptors int
	// Largest is the size of the largest message that clients may send, in bytes.
	Largest int64
	// TLS tells whether connections use TLS.
	TLS bool
}

// Derive returns the limits for a process.
func Derive(p Process) Limits {
	if p.Memory <= 0 {
		p.Memory = defaultMemory
	}
	if p.Descriptors <= 0 {
		p.Descriptors = defaultDescriptors
	}
	each := float64(connectionBytes)
	if p.TLS {
		each += tlsBytes
	}
	bytes := byteShare * float64(p.Memory)
	places := min(connectionShare*float64(p.Memory)/each, acceptedShare*float64(max(p.Descriptors-reservedDescriptors, 0)))
	l := Limits{
		// One more byte than the message lets a reader see its end.
		Large: max(int64((1-smallShare-frameShare-forwardShare)*bytes), p.Largest+1), Small: int64(smallShare * bytes),
		Frames: int64(frameShare * bytes), Forwarded: int64(forwardShare * bytes),
		Decode: int64((1 - smallShare) * decodeShare * bytes), DecodeLinks: int64(smallShare * decodeShare * bytes),
		Connections: map[Listener]int{}, Encrypted: p.TLS,
	}
	for name, share := range connectionShares {
		l.Connections[name] = max(int(share*places), 1)
	}
	return l
}

// Use is what bytes are reserved for.
type Use int

// The uses.
const (
	// Request is a head, a body or a response of a client.
	Request Use = iota
	// FirstFrame is a frame of a link that has carried none, and Frame one of a link that has. Whoever reaches the listener can
	// send a part of a first frame.
	FirstFrame
	Frame
	// Forwarded is a request of another entry.
	Forwarded
)

// shares holds the shares of each use, in the order in which they are tried: for large reservations, and for small ones.
var shares = map[Use][2][]Share{
	Request:    {{LargeShare}, {SmallShare, LargeShare}},
	FirstFrame: {{FrameShare}, {FrameShare}},
	Frame:      {{FrameShare, LargeShare}, {FrameShare, SmallShare, LargeShare}},
	Forwarded:  {{ForwardShare, LargeShare}, {ForwardShare, SmallShare, LargeShare}},
}

// SharesOf returns the shares from which bytes may be reserved, in the order in which they are tried, given what the client holds
// already. The result must not be modified.
func SharesOf(u Use, held, bytes int64) []Share {
	if held+bytes <= SmallBytes {
		return shares[u][1]
	}
	return shares[u][0]
}

// Size returns the number of bytes of a share.
func (l Limits) Size(s Share) int64 { return [...]int64{l.Small, l.Large, l.Frames, l.Forwarded}[s] }

// HeadBytes returns the memory that a part of a head takes beyond what counts with its connection.
func HeadBytes(bytes, lines int64) int64 {
	return max(headFactor*(bytes-FreeBytes)+lineBytes*lines, 0)
}

// LargestHead returns the size of the largest head of a request that can be served.
func (l Limits) LargestHead() int64 { return l.Large / (headFactor + lineBytes/usualLineBytes) }

// LargestBody returns the size of the largest body of a request that can be served.
func (l Limits) LargestBody() int64 { return l.Large - 1 }

// BodyTime returns the time that a body or a frame of some size may take to arrive.
func BodyTime(bytes int64) time.Duration {
	return StartTime + time.Duration(float64(bytes)/MinRate*float64(time.Second))
}

// Phase is what a connection is used for.
type Phase int

// The phases.
const (
	// Waiting connections have sent nothing of a request.
	Waiting Phase = iota
	// Head and Body connections have sent a part of the head or of the body of a request.
	Head
	Body
	// Running connections have sent a request that is being served.
	Running
	// Writing connections wait for their client to take a response.
	Writing
	// Link connections carry frames, of which one was received whole. NewLink connections have carried none.
	Link
	NewLink
	// Closing connections were answered and will be closed; the server gives their clients time to take the response.
	Closing
)

// String returns the name of the phase in metrics.
func (p Phase) String() string {
	return [...]string{"waiting", "head", "body", "running", "writing", "link", "new-link", "closing"}[p]
}

// Client is a connection as it is now.
type Client struct {
	Phase Phase
	// IsFresh is set until a request on the connection was answered, or a frame received whole.
	IsFresh bool
	// Held is the number of bytes that are reserved for it, of the share that has run out.
	Held int64
	// Received is the number of bytes that arrived in its phase.
	Received int64
	// Age is the time since the phase began, and Quiet that since it last made progress.
	Age, Quiet time.Duration
}

// lag returns the time by which a client is behind one that sends at [MinRate], with the time since its last progress.
func (c *Client) lag() time.Duration {
	expected := time.Duration(float64(c.Received) / MinRate * float64(time.Second))
	return c.Quiet + max(c.Age-expected, 0)
}

// isIdle reports whether a client makes no progress that a request depends on.
func (c *Client) isIdle() bool {
	switch c.Phase {
	case Waiting, NewLink:
		return c.Quiet >= quietTime
	case Closing:
		return c.Quiet >= freshTime
	case Head, Body, Writing:
		return c.Quiet >= quietTime || c.lag() >= 2*quietTime
	}
	return false
}

// Policy chooses the clients that lose what they hold. Holders returns indexes of clients that together hold at least
// the bytes that are needed, or all that may be chosen; Connection returns the index of a client whose connection can be
// closed for a new one, or -1.
type Policy interface {
	Holders(clients []Client, need int64) []int
	Connection(clients []Client) int
}

// LeastProgress chooses the clients that hold much and make little progress.
type LeastProgress struct{}

// Holders chooses by the product of what a client holds and the time that it is behind.
func (LeastProgress) Holders(clients []Client, need int64) []int {
	var idle []int
	for i := range clients {
		if c := &clients[i]; c.Held > 0 && c.isIdle() {
			idle = append(idle, i)
		}
	}
	weight := func(i int) float64 { return float64(clients[i].Held) * clients[i].lag().Seconds() }
	slices.SortStableFunc(idle, func(a, b int) int { return cmp.Compare(weight(b), weight(a)) })
	for n, i := range idle {
		if need -= clients[i].Held; need <= 0 {
			return idle[:n+1]
		}
	}
	return idle
}

// rank orders the clients whose connections can be closed for others, the first to be closed first. Clients of rank keep are
// not closed.
type rank int

const (
	fresh rank = iota
	idle
	keep
)

func (c *Client) rank() rank {
	switch {
	case c.IsFresh && c.Phase != Body && c.Phase != Writing && c.Phase != Running && c.Quiet >= freshTime:
		return fresh
	case c.isIdle():
		return idle
	}
	return keep
}

// Connection chooses the client that has made no progress for longest, of those that carried no request if there are some.
func (LeastProgress) Connection(clients []Client) int {
	best, bestRank := -1, keep
	for i := range clients {
		c := &clients[i]
		r := c.rank()
		if r < bestRank || (r == bestRank && r < keep && c.lag() > clients[best].lag()) {
			best, bestRank = i, r
		}
	}
	return best
}

// None is the baseline: it chooses no client, so that further ones are refused until some end by themselves.
type None struct{}

// Holders chooses none.
func (None) Holders([]Client, int64) []int { return nil }

// Connection chooses none.
func (None) Connection([]Client) int { return -1 }
