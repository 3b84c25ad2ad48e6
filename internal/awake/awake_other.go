//go:build !linux

package awake

import "time"

func slept() time.Duration { return 0 }
