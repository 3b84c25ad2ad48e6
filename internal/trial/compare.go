package trial

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
)

// Metric is a named value of a Result.
type Metric struct {
	Name string
	Of   func(r *Result) float64
}

// Metrics returns all metrics that trials report.
func Metrics() []Metric {
	return []Metric{
		{"completion_mean_s", func(r *Result) float64 { return r.CompletionMean }},
		{"run_mean_s", func(r *Result) float64 { return r.RunMean }},
		{"completion_p95_s", func(r *Result) float64 { return r.CompletionP95 }},
		{"large_wait_p95_s", func(r *Result) float64 { return r.LargeWaitP95 }},
		{"fragmentation", func(r *Result) float64 { return r.Fragmentation }},
		{"free_unusable_share", func(r *Result) float64 { return r.FreeUnusableShare }},
		{"lost_work_share", func(r *Result) float64 { return r.LostWorkShare }},
		{"reclaim_p95_s", func(r *Result) float64 { return r.ReclaimP95 }},
		{"utilization", func(r *Result) float64 { return r.Utilization }},
		{"unfinished", func(r *Result) float64 { return float64(r.Unfinished) }},
		{"broken_promises", func(r *Result) float64 { return float64(r.BrokenPromises) }},
	}
}

// Comparison contains the results of all policies for one burst of one site.
type Comparison struct {
	Site, Burst string
	Results     [][]*Result // By policy, in the order of Policies, then by seed.
}

// Compare runs every policy on each burst of each site for each seed, in parallel on all processors. The function
// change, if not nil, adapts each burst first.
func Compare(sites, bursts []string, seeds []uint64, change func(c *Burst)) ([]*Comparison, error) {
	var list []*Comparison
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	errs := make(chan error, 1)
	for _, siteName := range sites {
		for _, name := range bursts {
			site, err := LoadSite(siteName)
			if err != nil {
				return nil, err
			}
			burst, err := LoadBurst(siteName, name)
			if err != nil {
				return nil, err
			}
			if change != nil {
				change(burst)
			}
			c := &Comparison{Site: siteName, Burst: name}
			list = append(list, c)
			for _, p := range Policies() {
				results := make([]*Result, len(seeds))
				c.Results = append(c.Results, results)
				for i, seed := range seeds {
					group.Go(func() {
						slots <- struct{}{}
						defer func() { <-slots }()
						r, err := Run(site, burst, p, seed)
						if err != nil {
							select {
							case errs <- err:
							default:
							}
						}
						results[i] = r
					})
				}
			}
		}
	}
	group.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
		return list, nil
	}
}

// Median returns the median of a metric over the seeds, for the policy with an index.
func (c *Comparison) Median(policy int, m Metric) float64 {
	var list []float64
	for _, r := range c.Results[policy] {
		list = append(list, m.Of(r))
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// Max returns the maximum of a metric over the seeds, for the policy with an index.
func (c *Comparison) Max(policy int, m Metric) float64 {
	most := math.Inf(-1)
	for _, r := range c.Results[policy] {
		most = max(most, m.Of(r))
	}
	return most
}

// Ratio returns the median of the boxes' policy divided by the lowest median of the baselines. It expects a metric
// where lower is better.
func (c *Comparison) Ratio(m Metric) float64 {
	last := len(c.Results) - 1
	best := math.Inf(1)
	for p := range last {
		best = min(best, c.Median(p, m))
	}
	value := c.Median(last, m)
	if best == 0 {
		if value == 0 {
			return 1
		}
		return math.Inf(1)
	}
	return value / best
}

// Print writes a table with the medians of every policy and their Ratio. For broken promises and unfinished jobs it
// writes the maximum instead of the median.
func Print(w io.Writer, list []*Comparison) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "site\tburst\tmetric\t")
	for _, p := range Policies() {
		fmt.Fprint(t, p.Name(), "\t")
	}
	fmt.Fprintln(t, "ratio\t")
	for _, c := range list {
		for _, m := range Metrics() {
			fmt.Fprintf(t, "%s\t%s\t%s\t", c.Site, c.Burst, m.Name)
			for p := range c.Results {
				value := c.Median(p, m)
				if m.Name == "broken_promises" || m.Name == "unfinished" {
					value = c.Max(p, m)
				}
				fmt.Fprintf(t, "%.4g\t", value)
			}
			fmt.Fprintf(t, "%.2f\t\n", c.Ratio(m))
		}
	}
	_ = t.Flush() // Errors of w are not reported.
}
