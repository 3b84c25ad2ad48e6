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

// Names of what is at hand.
var (
	SiteNames  = []string{"gujarat", "yeongdong"}
	BurstNames = []string{"small_flood", "large_flood", "mixed", "cancel_wave", "wrong_estimates", "bad_workers", "rack_loss", "reclaim_all"}
)

// Policies returns the baselines and the policy of the boxes, which is the last.
func Policies() []decider.Policy {
	return []decider.Policy{decider.FirstFit{}, decider.Backfill{}, decider.Pulleyring{}}
}

// LoadSite reads the site of a name; it has one hall.
func LoadSite(name string) (*contract.Site, error) {
	file := "data/sites/" + name + ".ini"
	raw, err := data.ReadFile(file)
	if err != nil {
		return nil, errors.Errorf("trial: there is no site %q", name)
	}
	return site.Parse(file, raw)
}

// LoadBurst reads the burst of a name as it is at a site.
func LoadBurst(siteName, name string) (*Burst, error) {
	file := "data/bursts/" + siteName + "/" + name + ".ini"
	raw, err := data.ReadFile(file)
	if err != nil {
		return nil, errors.Errorf("trial: there is no burst %q at %q", name, siteName)
	}
	return ParseBurst(file, raw)
}
