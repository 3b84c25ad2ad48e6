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

// Metric is one figure of a result by its name.
type Metric struct {
	Name string
	Of   func(r *Result) float64
}

// Metrics returns every figure that trials report.
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

// Comparison is the results of every policy on one burst of one site, by policy and seed.
type Comparison struct {
	Site, Burst string
	Results     [][]*Result // By policy as in Policies, then by seed.
}

// Compare runs every policy on the bursts of the sites for the seeds, on all processors.
func Compare(sites, bursts []string, seeds []uint64, change func(c *Burst)) ([]*Comparison, error) {
	var list []*Comparison
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	errs := make(chan error, 1)
	for _, s := range sites {
		for _, name := range bursts {
			where, err := LoadSite(s)
			if err != nil {
				return nil, err
			}
			burst, err := LoadBurst(s, name)
			if err != nil {
				return nil, err
			}
			if change != nil {
				change(burst)
			}
			c := &Comparison{Site: s, Burst: name}
			list = append(list, c)
			for _, p := range Policies() {
				results := make([]*Result, len(seeds))
				c.Results = append(c.Results, results)
				for i, seed := range seeds {
					group.Go(func() {
						slots <- struct{}{}
						defer func() { <-slots }()
						r, err := Run(where, burst, p, seed)
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

// Median returns the median of a metric over the seeds for the policy of an index.
func (c *Comparison) Median(policy int, m Metric) float64 {
	var list []float64
	for _, r := range c.Results[policy] {
		list = append(list, m.Of(r))
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// Most returns the greatest value of a metric over the seeds for the policy of an index.
func (c *Comparison) Most(policy int, m Metric) float64 {
	most := math.Inf(-1)
	for _, r := range c.Results[policy] {
		most = max(most, m.Of(r))
	}
	return most
}

// Ratio returns the policy of the boxes against the better of the baselines, where less is better.
func (c *Comparison) Ratio(m Metric) float64 {
	last := len(c.Results) - 1
	best := math.Inf(1)
	for p := range last {
		best = min(best, c.Median(p, m))
	}
	own := c.Median(last, m)
	if best == 0 {
		if own == 0 {
			return 1
		}
		return math.Inf(1)
	}
	return own / best
}

// Print writes the medians of every policy, and the ratio of the last to the better of the others.
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
					value = c.Most(p, m)
				}
				fmt.Fprintf(t, "%.4g\t", value)
			}
			fmt.Fprintf(t, "%.2f\t\n", c.Ratio(m))
		}
	}
	_ = t.Flush() // The writer below says where it fails.
}
