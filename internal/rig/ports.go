package rig

import (
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// The ports of the rig lie below the range from which the kernel assigns ephemeral ports, so that an address that a
// proxy closes for a while is still free when it reopens. Each play gets a block of ports, with room for three ports
// per box at the maximum number of boxes, and for all proxies.
const minPort, maxPort, portsPerPlay = 10240, 32000, 200

// ports allocates the ports of a play. Create it with newPorts.
type ports struct {
	guard net.Listener // Listens on the first port of the block, so that no other play takes the block.
	next  int
}

// newPorts reserves an unused block of ports.
func newPorts() (*ports, error) {
	const blocks = (maxPort - minPort) / portsPerPlay
	for _, i := range rand.Perm(blocks) {
		first := minPort + i*portsPerPlay
		if guard, err := net.Listen("tcp", loopback(first)); err == nil {
			return &ports{guard, first}, nil
		}
	}
	return nil, errors.New("rig: no unused block of ports")
}

// free returns the next port of the block on which nobody listens.
func (p *ports) free() (int, error) {
	first := p.guard.Addr().(*net.TCPAddr).Port
	for p.next++; p.next < first+portsPerPlay; p.next++ {
		l, err := net.Listen("tcp", loopback(p.next))
		if err == nil {
			return p.next, errors.Wrap(l.Close(), "rig: unable to close a port")
		}
	}
	return 0, errors.New("rig: no free port left in the block")
}

// close releases the block.
func (p *ports) close() { _ = p.guard.Close() }
