package node

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/scheduler"
)

// Settings is what a box is told about itself and its site.
type Settings struct {
	Box       string // Name, unique in the site.
	Hall      string
	Halls     []string      // All halls of the site, sorted; none where they are not known.
	Front     string        // IP:port for clients.
	Ready     string        // IP:port where the balancer asks whether the box is ready.
	Metrics   string        // IP:port for counters and histograms; empty for none.
	Relay     string        // IP:port where other boxes call the store through this one; empty for none.
	Store     string        // IP:port of the platform's store.
	StopAfter time.Duration // Time from SIGTERM to SIGKILL.
	// ConfigurationWithin is the time within which a box must go by a new configuration; 0 where it is not known.
	ConfigurationWithin time.Duration
	Means               Means
	Bounds              scheduler.Bounds
}
