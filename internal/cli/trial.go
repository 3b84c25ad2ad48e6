package cli

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/trial"
)

func runTrial(e *env, args []string) int {
	set := e.flags("trial")
	sites := set.String("sites", strings.Join(trial.SiteNames, ","), "`names` of sites, by commas")
	bursts := set.String("bursts", strings.Join(trial.BurstNames, ","), "`names` of bursts, by commas")
	seedText := set.String("seeds", "1-3", "`seeds`, as FIRST-LAST or one number")
	if code, done := e.parse(set, args); done {
		return code
	}
	seeds, err := parseSeeds(*seedText)
	if err != nil || set.NArg() > 0 {
		return e.usageError("trial", "-seeds is FIRST-LAST or one number, and there are options only")
	}
	list, err := trial.Compare(strings.Split(*sites, ","), strings.Split(*bursts, ","), seeds, nil)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	trial.Print(e.out, list)
	return exitSuccess
}

// maxSeeds is the largest number of seeds in one comparison.
const maxSeeds = 1000

func parseSeeds(text string) ([]uint64, error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 32)
	if err != nil {
		return nil, err
	}
	to, err := strconv.ParseUint(last, 10, 32)
	if err != nil {
		return nil, err
	}
	if to < from || to-from >= maxSeeds {
		return nil, errors.New("no range")
	}
	var seeds []uint64
	for s := from; s <= to; s++ {
		seeds = append(seeds, s)
	}
	return seeds, nil
}
