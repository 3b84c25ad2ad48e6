package rig

import (
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// Ports of the rig lie below those that the kernel gives to connections, in blocks, one for each play: an address that is closed for a while is
// free when it opens again. A block has room for the most boxes, three ports each, and a proxy before everything.
const portLeast, portMost, portsOfPlay = 10240, 32000, 200

// ports gives out the ports of a play. Make it with newPorts.
type ports struct {
	guard net.Listener // On the first port of the block, so that no other play takes it.
	next  int
}

// newPorts finds a block that nobody uses.
func newPorts() (*ports, error) {
	const blocks = (portMost - portLeast) / portsOfPlay
	for _, i := range rand.Perm(blocks) {
		first := portLeast + i*portsOfPlay
		if guard, err := net.Listen("tcp", loopback(first)); err == nil {
			return &ports{guard, first}, nil
		}
	}
	return nil, errors.New("rig: no free ports")
}

// free is the next port on which nobody listens.
func (p *ports) free() (int, error) {
	first := p.guard.Addr().(*net.TCPAddr).Port
	for p.next++; p.next < first+portsOfPlay; p.next++ {
		l, err := net.Listen("tcp", loopback(p.next))
		if err == nil {
			return p.next, errors.Wrap(l.Close(), "rig: unable to close a port")
		}
	}
	return 0, errors.New("rig: no free port")
}

// close gives the block back.
func (p *ports) close() { _ = p.guard.Close() }
