// Package link carries the messages between boxes: over QUIC with mutual TLS, encoded as CBOR.
package link

import (
	"context"

	"github.com/pulleyring/pulleyring/internal/timeline"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Entry is a box as other boxes and the live list know it.
type Entry struct {
	Name    string `json:"name" cbor:"1,keyasint"`
	Hall    string `json:"hall" cbor:"2,keyasint"`
	Listen  string `json:"listen" cbor:"3,keyasint"` // IP:port for callers and operators.
	Link    string `json:"link" cbor:"4,keyasint"`   // IP:port for other boxes.
	Leaving bool   `json:"leaving" cbor:"5,keyasint"`
}

// Load is what a hall's preferred box tells the others so that they choose halls for new jobs.
type Load struct {
	Hall       string         `cbor:"1,keyasint"`
	Capacity   int            `cbor:"2,keyasint"` // Usable accelerators.
	Free       int            `cbor:"3,keyasint"`
	Largest    int            `cbor:"4,keyasint"` // Free accelerators of the emptiest rack.
	Firm       int            `cbor:"9,keyasint"` // The same, of those pledged to nobody.
	Waiting    int            `cbor:"5,keyasint"` // Accelerators that waiting jobs need.
	PledgeFree map[string]int `cbor:"6,keyasint"` // Pledged and unused accelerators by workspace.
	Used       map[string]int `cbor:"7,keyasint"` // Accelerators in use by workspace.
	Unfinished map[string]int `cbor:"8,keyasint"` // Unfinished jobs by workspace.
}

// Heartbeat says that a box lives and what it knows.
type Heartbeat struct {
	Entry   Entry  `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"` // Of the configuration in force there.
	Orders  int64  `cbor:"3,keyasint"` // Version of the operators' orders in force there.
	Loads   []Load `cbor:"4,keyasint"` // Of the halls that the box is preferred for.
}

// News says that rows of a hall or of the site changed.
type News struct {
	Prefix string `cbor:"1,keyasint"`
}

// Settled hands the outcome of a request to the box where its caller waits.
type Settled struct {
	Identity request.Identity `cbor:"1,keyasint"`
	Reply    request.Reply    `cbor:"2,keyasint"`
	Round    int              `cbor:"3,keyasint"` // Number of the submission that was settled.
}

// Question asks the preferred box of a hall, or any box, for what only its memory holds.
type Question struct {
	Why      string `cbor:"1,keyasint"` // Key of a job, caller/id.
	Timeline bool   `cbor:"2,keyasint"` // Its events, all or of Job.
	Job      string `cbor:"3,keyasint"`
	Site     bool   `cbor:"4,keyasint"` // Its configuration and orders.
}

// Message is what one box sends to another; one of the pointers is set.
type Message struct {
	From      string         `cbor:"1,keyasint"`
	Stamp     timeline.Stamp `cbor:"2,keyasint"`
	Heartbeat *Heartbeat     `cbor:"3,keyasint,omitempty"`
	News      *News          `cbor:"4,keyasint,omitempty"`
	Settled   *Settled       `cbor:"5,keyasint,omitempty"`
	Question  *Question      `cbor:"6,keyasint,omitempty"`
}

// Document is a versioned row of the site that boxes pass on.
type Document struct {
	Version int64  `cbor:"1,keyasint"`
	Text    string `cbor:"2,keyasint"`
}

// Reply answers a message.
type Reply struct {
	Stamp  timeline.Stamp   `cbor:"1,keyasint"`
	Text   string           `cbor:"2,keyasint,omitempty"`
	Events []timeline.Event `cbor:"3,keyasint,omitempty"`
	Site   *Document        `cbor:"4,keyasint,omitempty"`
	Orders *Document        `cbor:"5,keyasint,omitempty"`
}

// Handler answers the messages of other boxes; from is the name in the sender's certificate.
type Handler func(ctx context.Context, from string, m *Message) *Reply

// Network sends messages to other boxes; implementations are QUIC and, in tests, Switch.
type Network interface {
	Send(ctx context.Context, to Entry, m *Message) (*Reply, error)
}
