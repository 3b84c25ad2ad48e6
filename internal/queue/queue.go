// Package queue is the configuration that the operator puts in force: queues, services, workspaces and their keys.
package queue

import (
	"strings"
	"time"
)

// Configuration is one version of what the operator wants, whole.
type Configuration struct {
	Version    int64
	Queues     []Queue
	Services   []Service
	Workspaces []Workspace
	BodyBytes  int64 // Largest body of a request; 0 for no limit of its own.
}

// Queue takes jobs of one kind for one service.
type Queue struct {
	Name      string
	Host      string
	Prefix    string // Path prefix.
	Service   string
	Anonymous bool // Callers need no key.
	Priority  int  // 0 goes first.
	Attempts  int  // Failed runs after which a job has failed.
	Stretch   float64
	Objective time.Duration
	Timeout   time.Duration // Longest time for an answer; 0 for none.
}

// Service is a pool of like workers.
type Service struct {
	Name   string
	Guards bool // Its workers refuse what does not fit.
	Spare  bool // Its machines are off until moved to another pool.
}

// Workspace is a customer with a guarantee.
type Workspace struct {
	Name       string
	Keys       []string
	Guaranteed int64 // Accelerators for its jobs of priority 0.
}

// Find returns the queue of a host and path, by the longest prefix; nil where there is none.
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

// Authenticate returns the workspace of a key, false where the key is not known.
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
