// Package link exchanges messages between boxes over QUIC with mutual TLS. Messages are encoded as CBOR.
package link

import (
	"context"

	"github.com/pulleyring/pulleyring/internal/timeline"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Entry is the public description of a box, as sent to other boxes and to the platform's list.
type Entry struct {
	Name    string `json:"name" cbor:"1,keyasint"`
	Hall    string `json:"hall" cbor:"2,keyasint"`
	Listen  string `json:"listen" cbor:"3,keyasint"` // IP:port for callers and operators.
	Link    string `json:"link" cbor:"4,keyasint"`   // IP:port for other boxes.
	Leaving bool   `json:"leaving" cbor:"5,keyasint"`
}

// Load is the load of a hall. Its preferred box sends it to the others, which use it to choose halls for new jobs.
type Load struct {
	Hall              string         `cbor:"1,keyasint"`
	Capacity          int            `cbor:"2,keyasint"` // Usable accelerators.
	Free              int            `cbor:"3,keyasint"`
	LargestFree       int            `cbor:"4,keyasint"` // Free accelerators of the rack that has the most.
	LargestUnreserved int            `cbor:"9,keyasint"` // Free unreserved accelerators of the rack that has the most.
	Waiting           int            `cbor:"5,keyasint"` // Accelerators that waiting jobs need in total.
	PledgeFree        map[string]int `cbor:"6,keyasint"` // Unused accelerators reserved for guarantees, by workspace.
	Used              map[string]int `cbor:"7,keyasint"` // Accelerators in use by workspace.
	Unfinished        map[string]int `cbor:"8,keyasint"` // Unfinished jobs by workspace.
}

// Heartbeat reports that a box is alive, the configuration that it uses, and the loads of its halls.
type Heartbeat struct {
	Entry   Entry  `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"` // Version of the configuration that the box uses.
	Orders  int64  `cbor:"3,keyasint"` // Version of the operators' orders that the box uses.
	Loads   []Load `cbor:"4,keyasint"` // Loads of the halls for which the box decides.
}

// News notifies a box that table rows with this key prefix, of a hall or of the site, have changed.
type News struct {
	Prefix string `cbor:"1,keyasint"`
}

// Settled carries the outcome of a request to the box at which its caller waits.
type Settled struct {
	Identity request.Identity `cbor:"1,keyasint"`
	Reply    request.Reply    `cbor:"2,keyasint"`
	Round    int              `cbor:"3,keyasint"` // Number of the submission to which the outcome belongs.
}

// Question asks a box for data that it holds in memory; Why, Timeline or Site selects which.
type Question struct {
	Why      string `cbor:"1,keyasint"` // Key of the job to explain, caller/id.
	Timeline bool   `cbor:"2,keyasint"` // Asks for the box's timeline events, limited to Job unless that is empty.
	Job      string `cbor:"3,keyasint"`
	Site     bool   `cbor:"4,keyasint"` // Asks for the box's configuration and orders.
}

// Message is sent from one box to another. Exactly one of the pointers is set.
type Message struct {
	From      string         `cbor:"1,keyasint"`
	Stamp     timeline.Stamp `cbor:"2,keyasint"`
	Heartbeat *Heartbeat     `cbor:"3,keyasint,omitempty"`
	News      *News          `cbor:"4,keyasint,omitempty"`
	Settled   *Settled       `cbor:"5,keyasint,omitempty"`
	Question  *Question      `cbor:"6,keyasint,omitempty"`
}

// Document is a versioned text, the configuration or the operators' orders, that boxes forward to each other.
type Document struct {
	Version int64  `cbor:"1,keyasint"`
	Text    string `cbor:"2,keyasint"`
}

// Reply is the answer to a Message.
type Reply struct {
	Stamp  timeline.Stamp   `cbor:"1,keyasint"`
	Text   string           `cbor:"2,keyasint,omitempty"`
	Events []timeline.Event `cbor:"3,keyasint,omitempty"`
	Site   *Document        `cbor:"4,keyasint,omitempty"`
	Orders *Document        `cbor:"5,keyasint,omitempty"`
}

// Handler processes a message of another box and returns the reply; from is the name in the sender's certificate.
type Handler func(ctx context.Context, from string, m *Message) *Reply

// Network sends messages to other boxes. QUIC implements it; tests use Port, which sends over a Switch.
type Network interface {
	Send(ctx context.Context, to Entry, m *Message) (*Reply, error)
}
