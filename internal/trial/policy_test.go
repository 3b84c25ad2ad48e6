package trial

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/decider"
	"github.com/pulleyring/pulleyring/internal/site"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

var (
	siteNames  = []string{"gujarat", "yeongdong"}
	burstNames = []string{"small_flood", "large_flood", "mixed", "cancel_wave", "wrong_estimates", "bad_workers", "rack_loss", "reclaim_all"}
	policies   = []decider.Policy{decider.FirstFit{}, decider.Backfill{}, decider.Pulleyring{}}
)

func loadSite(tb testing.TB, name string) *contract.Site {
	file := filepath.Join("testdata", "sites", name+".ini")
	raw, err := os.ReadFile(file)
	qt.Assert(tb, err, qt.IsNil)
	s, err := site.Parse(file, raw)
	qt.Assert(tb, err, qt.IsNil)
	return s
}

func loadBurst(tb testing.TB, siteName, name string) *Burst {
	file := filepath.Join("testdata", "bursts", siteName, name+".ini")
	raw, err := os.ReadFile(file)
	qt.Assert(tb, err, qt.IsNil)
	b, err := ParseBurst(file, raw)
	qt.Assert(tb, err, qt.IsNil)
	return b
}

func seed(tb testing.TB) uint64 {
	text := os.Getenv("PULLEYRING_SEED")
	if text == "" {
		return 1
	}
	n, err := strconv.ParseUint(text, 10, 64)
	qt.Assert(tb, err, qt.IsNil)
	return n
}

// BenchmarkPolicy puts every policy through every burst of every site; PULLEYRING_SEED sets the seed.
func BenchmarkPolicy(b *testing.B) {
	n := seed(b)
	for _, s := range siteNames {
		for _, burst := range burstNames {
			for _, p := range policies {
				b.Run(fmt.Sprintf("site=%s/burst=%s/policy=%s", s, burst, p.Name()), func(b *testing.B) {
					where, demand := loadSite(b, s), loadBurst(b, s, burst)
					for b.Loop() {
						r, err := Run(where, demand, p, n)
						qt.Assert(b, err, qt.IsNil)
						report(b, r)
					}
				})
			}
		}
	}
}

func report(b *testing.B, r *Result) {
	b.ReportMetric(r.CompletionMean, "completion_mean_s")
	b.ReportMetric(r.CompletionP95, "completion_p95_s")
	b.ReportMetric(r.LargeWaitP95, "large_wait_p95_s")
	b.ReportMetric(r.Fragmentation, "fragmentation")
	b.ReportMetric(r.FreeUnusableShare, "free_unusable_share")
	b.ReportMetric(r.LostWorkShare, "lost_work_share")
	b.ReportMetric(r.ReclaimP95, "reclaim_p95_s")
	b.ReportMetric(r.Utilization, "utilization")
	b.ReportMetric(float64(r.Unfinished), "unfinished")
	b.ReportMetric(float64(r.BrokenPromises), "broken_promises")
	if len(r.Broken) > 0 {
		b.Log(r.Broken)
	}
}
