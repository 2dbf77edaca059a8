package procs

import (
	"net"
	"os"
	"strconv"

	"carawaymux.dev/fleet/fault"
)

const (
	// firstPort and lastPort limit the ports that FreePorts returns. They lie below the
	// kernel's range for outgoing connections (ephemeral ports).
	firstPort = 20_000
	lastPort  = 32_000
	// portsPerBlock is the number of ports that a process reserves at a time.
	portsPerBlock = 50
	// blocksPerProcess is the distance between the blocks at which processes with consecutive process IDs
	// begin to search.
	blocksPerProcess = 10
)

// portBlocks reserves blocks of ports. A process owns a block while it listens on the first port of the block, so a
// port of the block stays its own while nothing listens on it, as between the end and the start of a child process.
type portBlocks struct {
	// next is the number of the next block to try.
	next int
	// owned holds the listeners on the first ports of the blocks. They are closed with the process.
	owned []net.Listener
	// free holds the ports of the blocks that have not been returned.
	free []int
}

// sharedBlocks holds the blocks of this process while no caller uses them.
var sharedBlocks = make(chan *portBlocks, 1)

func init() { sharedBlocks <- &portBlocks{next: os.Getpid() * blocksPerProcess} }

// FreePorts returns n addresses on 127.0.0.1 on which nothing listens. No other call returns them, in this process or
// in one that runs at the same time.
func FreePorts(n int) ([]string, error) {
	b := <-sharedBlocks
	defer func() { sharedBlocks <- b }()
	return b.take(n)
}

func (b *portBlocks) take(n int) ([]string, error) {
	var out []string
	for len(out) < n {
		if len(b.free) == 0 && !b.reserve() {
			return nil, fault.New("find-port", "127.0.0.1", "found %d of %d free ports", len(out), n)
		}
		address := localAddress(b.free[0])
		b.free = b.free[1:]
		// Dial instead of binding the port: a child process that is being forked at
		// this moment would inherit the listening socket and keep the port in use.
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			continue
		}
		out = append(out, address)
	}
	return out, nil
}

// reserve reserves a block. It returns false if no block is left.
func (b *portBlocks) reserve() bool {
	const blocks = (lastPort - firstPort) / portsPerBlock
	for range blocks {
		first := firstPort + b.next%blocks*portsPerBlock
		b.next++
		l, err := net.Listen("tcp", localAddress(first))
		if err != nil {
			continue
		}
		b.owned = append(b.owned, l)
		for port := first + 1; port < first+portsPerBlock; port++ {
			b.free = append(b.free, port)
		}
		return true
	}
	return false
}

func localAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
