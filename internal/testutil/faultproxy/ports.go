package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
)

// The ports of FreeAddress lie below those that the system gives to outgoing
// connections and to listeners on port 0, which would take them in between.
// They are divided into blocks. A test process owns a block while it listens on
// the block's first port, so that test processes at once do not take each
// other's ports.
const (
	firstFreePort = 10_000
	lastFreePort  = 32_000
	portsPerBlock = 200
)

// blocks are the ports that this process owns.
var blocks struct {
	mu sync.Mutex
	// owned keeps the listeners that mark the blocks.
	owned []net.Listener
	// next and end bound the ports that are not given away yet.
	next, end int
}

// FreeAddress returns a loopback address that nobody listens on and that no
// other test process is given.
func FreeAddress(t testing.TB) string {
	t.Helper()
	blocks.mu.Lock()
	defer blocks.mu.Unlock()
	for {
		if blocks.next == blocks.end && !ownBlock() {
			t.Fatalf("no free block of ports between %d and %d", firstFreePort, lastFreePort)
		}
		address := loopback(blocks.next)
		blocks.next++
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// ownBlock takes a block that no process owns, beginning at a random one.
func ownBlock() bool {
	count := (lastFreePort - firstFreePort) / portsPerBlock
	start := rand.IntN(count)
	for i := range count {
		base := firstFreePort + (start+i)%count*portsPerBlock
		listener, err := net.Listen("tcp", loopback(base))
		if err != nil {
			continue
		}
		blocks.owned = append(blocks.owned, listener)
		blocks.next, blocks.end = base+1, base+portsPerBlock
		return true
	}
	return false
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
