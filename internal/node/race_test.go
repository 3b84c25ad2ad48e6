//go:build race

package node

// The race detector makes every step many times slower: large sites are left to the tests without it.
func init() { sizes = sizes[:2] }
