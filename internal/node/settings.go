package node

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/ingress"
	"github.com/pulleyring/pulleyring/internal/scheduler"
)

// Settings describes a box and its site.
type Settings struct {
	Box       string // Name, unique within the site.
	Hall      string
	Halls     []string      // All halls of the site, sorted; empty if unknown.
	Front     string        // IP:port for clients.
	Ready     string        // IP:port of the readiness check for the load balancer.
	Metrics   string        // IP:port for metrics; empty for none.
	Relay     string        // IP:port at which other boxes call the store through this one; empty for none.
	Store     string        // IP:port of the platform's store.
	RowBytes  int           // Largest value of a row that the store takes; 0 for the usual limit.
	StopAfter time.Duration // Time between SIGTERM and SIGKILL.
	// ConfigurationWithin is the time within which a new configuration must be in force; 0 if unknown.
	ConfigurationWithin time.Duration
	Means               Resources
	Ingress             ingress.Limits // Limits of clients.
	Bounds              scheduler.Bounds
}
