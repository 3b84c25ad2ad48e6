package trial

import (
	"embed"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/decider"
	"github.com/pulleyring/pulleyring/internal/site"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

//go:embed data
var data embed.FS

// Names of the embedded sites and bursts.
var (
	SiteNames  = []string{"gujarat", "yeongdong"}
	BurstNames = []string{"small_flood", "large_flood", "mixed", "cancel_wave", "wrong_estimates", "bad_workers", "rack_loss", "reclaim_all"}
)

// Policies returns the baselines, then the policy of the boxes as the last one.
func Policies() []decider.Policy {
	return []decider.Policy{decider.FirstFit{}, decider.Backfill{}, decider.Pulleyring{}}
}

// LoadSite returns the embedded site with a name; it has one hall.
func LoadSite(name string) (*contract.Site, error) {
	file := "data/sites/" + name + ".ini"
	raw, err := data.ReadFile(file)
	if err != nil {
		return nil, errors.Errorf("trial: there is no site %q", name)
	}
	return site.Parse(file, raw)
}

// LoadBurst returns the embedded burst with a name for a site.
func LoadBurst(siteName, name string) (*Burst, error) {
	file := "data/bursts/" + siteName + "/" + name + ".ini"
	raw, err := data.ReadFile(file)
	if err != nil {
		return nil, errors.Errorf("trial: there is no burst %q at %q", name, siteName)
	}
	return ParseBurst(file, raw)
}
