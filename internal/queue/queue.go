// Package queue holds the operator's configuration: queues, services, workspaces and their keys.
package queue

import (
	"strings"
	"time"
)

// Configuration is one complete version of the operator's configuration.
type Configuration struct {
	Version    int64
	Queues     []Queue
	Services   []Service
	Workspaces []Workspace
	BodyBytes  int64 // Maximum size of a request body in bytes; 0 for no configured limit.
}

// Queue accepts jobs of one kind for one service.
type Queue struct {
	Name      string
	Host      string
	Prefix    string // Prefix of the URL path.
	Service   string
	Anonymous bool          // Callers need no key.
	Priority  int           // 0 is the highest priority.
	Attempts  int           // Number of failed runs after which a job fails.
	Stretch   float64       // Allowed duration of a job, as a multiple of its longest chain of dependent work.
	Objective time.Duration // Time added to the allowed duration.
	Timeout   time.Duration // Maximum time for an answer; 0 for no limit.
}

// Service is a pool of identical workers.
type Service struct {
	Name           string
	AdmissionCheck bool // Its workers reject tasks that do not fit.
	Spare          bool // Its machines are powered off until moved to another pool.
}

// Workspace is a customer with guaranteed capacity.
type Workspace struct {
	Name       string
	Keys       []string
	Guaranteed int64 // Accelerators guaranteed to its jobs of priority 0.
}

// Find returns the queue for a host and URL path, the one with the longest matching prefix; nil if there is none.
func (c *Configuration) Find(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// GuaranteedTo returns the number of accelerators guaranteed to a workspace.
func (c *Configuration) GuaranteedTo(workspace string) int64 {
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == workspace {
			return c.Workspaces[i].Guaranteed
		}
	}
	return 0
}

// Authenticate returns the workspace that a key belongs to; false if the key is unknown.
func (c *Configuration) Authenticate(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			if k == key {
				return c.Workspaces[i].Name, true
			}
		}
	}
	return "", false
}
