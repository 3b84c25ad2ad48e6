package ingress

import (
	"cmp"
	"math"
	"time"
)

// Limits bounds what the clients of a server may hold. A field that is 0 bounds nothing, but for HeaderBytes and
// HeaderLines, which have defaults.
type Limits struct {
	Connections int           // Open connections.
	Bytes       int64         // Memory of the requests that are being received or handled, in bytes.
	HeaderBytes int           // Length of the head of a request: its request line and header.
	HeaderLines int           // Lines of the head of a request.
	HeaderTime  time.Duration // Time from the first byte of a request to the end of its head.
	BodyTime    time.Duration // Time from the end of the head to the end of the body.
	WriteTime   time.Duration // Time for which a client may read nothing of a response.
	IdleTime    time.Duration // Time between two requests on a connection.
	// MinAge is how long a connection without a whole request is kept at least, so that the request of an ordinary client
	// arrives even while others open connections as fast as they can.
	MinAge time.Duration
}

// Default limits. Clients inside the users' limits send heads of less than 1 KiB in about ten lines, give a request at
// most 3 s, and have bodies of at most 256 KiB.
const (
	defaultHeaderBytes = 16 << 10
	defaultHeaderLines = 100
	defaultHeaderTime  = 5 * time.Second
	defaultBodyTime    = 15 * time.Second
	defaultWriteTime   = 10 * time.Second
	defaultIdleTime    = 5 * time.Minute
	defaultMinAge      = 200 * time.Millisecond
)

// Shares of the memory and of the descriptors of a machine.
const (
	// connectionShare is for connections: their goroutines and buffers, and the kernel's.
	connectionShare = 0.3
	// requestShare is for requests that are being received or handled.
	requestShare = 0.15
	// runtimeShare limits the memory of the Go runtime; the kernel's buffers come on top of that.
	runtimeShare = 0.6
	// descriptorShare is for clients; the rest is for the store, workers and other boxes.
	descriptorShare = 0.5
	// reservedDescriptors can't be used for connections.
	reservedDescriptors = 200
)

const (
	// receiveBuffer limits the bytes of a connection that the kernel has received and that are not read yet. The kernel
	// counts its own overhead as well and reserves twice as much.
	receiveBuffer = 32 << 10
	// sendBuffer limits the bytes of a connection that the client has not taken yet.
	sendBuffer = 16 << 10
	// connectionBytes is the memory of a connection without the request that it carries: two buffers of 4 KiB, a
	// goroutine with its stack, and the kernel's receive buffer.
	connectionBytes = 24<<10 + receiveBuffer
	// tlsBytes is what a connection over TLS takes beside that: the states of both directions and two records of 16 KiB.
	tlsBytes = 40 << 10
	// lineBytes is the memory of a header line beside its bytes, once it is parsed.
	lineBytes = 256
)

// assumedMemoryMB and assumedDescriptors are the size of a machine of which the settings tell nothing.
const assumedMemoryMB, assumedDescriptors = 256, 4096

// MachineLimits returns the limits for a machine with this memory, in MiB, and this number of file descriptors. An
// argument of 0 means that the machine's size is not known.
func MachineLimits(memoryMB, descriptors int) Limits {
	memory := float64(cmp.Or(memoryMB, assumedMemoryMB)) * (1 << 20)
	descriptors = cmp.Or(descriptors, assumedDescriptors)
	return Limits{
		Connections: max(1, min(int(descriptorShare*float64(descriptors-reservedDescriptors)), int(connectionShare*memory/connectionBytes))),
		Bytes:       int64(requestShare * memory),
		HeaderBytes: defaultHeaderBytes, HeaderLines: defaultHeaderLines, HeaderTime: defaultHeaderTime,
		BodyTime: defaultBodyTime, WriteTime: defaultWriteTime, IdleTime: defaultIdleTime, MinAge: defaultMinAge,
	}
}

// OverTLS returns the limits of a server whose clients come over TLS, from those for a machine of its size.
func OverTLS(l Limits) Limits {
	l.Connections = max(1, l.Connections*connectionBytes/(connectionBytes+tlsBytes))
	return l
}

// RuntimeLimit returns the limit of the Go runtime's memory, in bytes, on a machine with this memory, in MiB.
func RuntimeLimit(memoryMB int) int64 {
	if memoryMB <= 0 {
		return math.MaxInt64
	}
	return int64(runtimeShare * float64(memoryMB) * (1 << 20))
}

// checkConnections is the number of connections for readiness checks. A load balancer has one or a few.
const checkConnections = 64

// CheckLimits returns the limits for the listener of the readiness check. Its few connections have no minimum age: they
// would all be taken by clients that send nothing.
func CheckLimits(l Limits) Limits {
	l.Connections = checkConnections
	l.Bytes = checkConnections * defaultHeaderBytes
	l.MinAge = 0
	return l
}
