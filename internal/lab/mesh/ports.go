package mesh

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/gravitational/trace"
)

// Ports of nodes lie below those the system gives to outgoing connections, so
// that a node finds its port free when it starts again.
const (
	firstPort = 20_000
	portCount = 12_000
)

// portAllocator hands out loopback addresses that were free when asked for.
type portAllocator struct {
	next  int
	tried int
}

func newPortAllocator() *portAllocator { return &portAllocator{next: rand.IntN(portCount)} }

// address returns an address no other call was given.
func (p *portAllocator) address() (string, error) {
	for p.tried < portCount {
		port := firstPort + p.next
		p.next = (p.next + 1) % portCount
		p.tried++
		address := fmt.Sprintf("127.0.0.1:%d", port)
		probe, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = probe.Close()
		return address, nil
	}
	return "", trace.LimitExceeded("no free port from %d on", firstPort)
}

// addresses returns several addresses.
func (p *portAllocator) addresses(count int) ([]string, error) {
	found := make([]string, 0, count)
	for range count {
		address, err := p.address()
		if err != nil {
			return nil, err
		}
		found = append(found, address)
	}
	return found, nil
}
