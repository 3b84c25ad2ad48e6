//go:build race

package node

// The race detector slows every step down, so large sites are only tested without it.
func init() { sizes = sizes[:2] }
