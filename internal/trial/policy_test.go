package trial

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

func seed(tb testing.TB) uint64 {
	text := os.Getenv("PULLEYRING_SEED")
	if text == "" {
		return 1
	}
	n, err := strconv.ParseUint(text, 10, 64)
	qt.Assert(tb, err, qt.IsNil)
	return n
}

// BenchmarkPolicy runs every policy on every burst of every site; PULLEYRING_SEED sets the seed.
func BenchmarkPolicy(b *testing.B) {
	n := seed(b)
	for _, siteName := range SiteNames {
		for _, burst := range BurstNames {
			for _, p := range Policies() {
				b.Run(fmt.Sprintf("site=%s/burst=%s/policy=%s", siteName, burst, p.Name()), func(b *testing.B) {
					site, err := LoadSite(siteName)
					qt.Assert(b, err, qt.IsNil)
					demand, err := LoadBurst(siteName, burst)
					qt.Assert(b, err, qt.IsNil)
					for b.Loop() {
						r, err := Run(site, demand, p, n)
						qt.Assert(b, err, qt.IsNil)
						report(b, r)
					}
				})
			}
		}
	}
}

func report(b *testing.B, r *Result) {
	for _, m := range Metrics() {
		b.ReportMetric(m.Of(r), m.Name)
	}
	if len(r.Broken) > 0 {
		b.Log(r.Broken)
	}
}
