//go:build !linux

package awake

import "time"

// suspended returns 0: suspended time is only known on Linux.
func suspended() time.Duration { return 0 }
