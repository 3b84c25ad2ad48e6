package site

import (
	"github.com/pulleyring/pulleyring/internal/inifile"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// rackSection holds the options of a rack section: a number of identical workers.
type rackSection struct {
	Hall                         string
	Address                      string
	Count                        int
	CPUs, MemoryGB, Accelerators int
}

// upstreamSection holds the options of an upstreams section: a number of identical executors.
type upstreamSection struct {
	Hall, Address             string
	Count, Slots, Connections int
}

func siteOptions(s *contract.Site) []inifile.Option {
	return []inifile.Option{
		{Key: "name", Doc: "Name of the site.", Target: &s.Name, Form: inifile.Name, Required: true},
		{Key: "completion_weight", Doc: "0 favours whole racks, 1 favours short completion times.", Target: &s.CompletionWeight, Max: 1},
		{Key: "reserve_share", Doc: "Share of a hall's accelerators kept free of guarantees, for failed workers.", Target: &s.ReserveShare, Max: 0.9},
		{Key: "reclaim_seconds", Doc: "Bound for giving a guarantee back where borrowers are checkpointed.", Unit: "seconds", Target: &s.ReclaimSeconds, Min: 1, Max: 3600},
		{Key: "set_aside_seconds", Doc: "Wait from which a large gang gets a rack set aside.", Unit: "seconds", Target: &s.SetAsideSeconds, Max: 86400},
		{Key: "give_up_after_workers", Doc: "Healthy workers that a job may fail on before it is given up.", Target: &s.GiveUpAfterWorkers, Min: 1, Max: 100},
	}
}

func hallOptions(h *contract.Hall) []inifile.Option {
	return []inifile.Option{
		{Key: "region", Doc: "Region of the hall.", Target: &h.Region, Form: inifile.Name, Required: true},
	}
}

func rackOptions(d *rackSection) []inifile.Option {
	return []inifile.Option{
		{Key: "hall", Doc: "Hall that the rack stands in.", Target: &d.Hall, Form: inifile.Name, Required: true},
		{Key: "address", Doc: "Where its workers are reached.", Target: &d.Address, Form: inifile.URL, Required: true},
		{Key: "workers", Doc: "Number of workers.", Target: &d.Count, Min: 1, Max: 1000},
		{Key: "cpus", Doc: "Cores of each worker.", Unit: "cores", Target: &d.CPUs, Max: 10000, Required: true},
		{Key: "memory_gb", Doc: "Memory of each worker.", Unit: "GB", Target: &d.MemoryGB, Max: 1000000, Required: true},
		{Key: "accelerators", Doc: "Accelerators of each worker.", Target: &d.Accelerators, Max: 64},
	}
}

func upstreamOptions(d *upstreamSection) []inifile.Option {
	return []inifile.Option{
		{Key: "hall", Doc: "Hall that the executors stand in.", Target: &d.Hall, Form: inifile.Name, Required: true},
		{Key: "address", Doc: "Where the executors are reached.", Target: &d.Address, Form: inifile.URL, Required: true},
		{Key: "count", Doc: "Number of executors.", Target: &d.Count, Min: 1, Max: 10000},
		{Key: "slots", Doc: "Requests that one works on at once.", Target: &d.Slots, Min: 1, Max: 10000},
		{Key: "connections", Doc: "Connections that one takes from all boxes together.", Target: &d.Connections, Min: 1, Max: 100000},
	}
}

func workspaceOptions(w *contract.Workspace) []inifile.Option {
	return []inifile.Option{
		{Key: "share", Doc: "Weight in the order beyond guarantees.", Target: &w.Share, Min: 0.001, Max: 1000},
		{Key: "guarantee_blocks", Doc: "Guaranteed blocks, each whole inside one rack.", Target: &w.Blocks, Max: 10000},
		{Key: "block_accelerators", Doc: "Adjacent accelerators in a block.", Target: &w.BlockAccelerators, Min: 1, Max: 1024},
		{Key: "limit_accelerators", Doc: "Most accelerators in use at once; 0 means no limit.", Target: &w.LimitAccelerators, Max: 1000000},
	}
}

func callerOptions(c *contract.Caller) []inifile.Option {
	return []inifile.Option{
		{Key: "workspaces", Doc: "Workspaces that it may submit for.", Target: &c.Workspaces, Required: true},
		{Key: "key_hash", Doc: "SHA-256 of its key, or @FILE that holds it.", Target: &c.KeyHash, Form: inifile.Hash, Required: true},
	}
}

func operatorOptions(o *contract.Operator) []inifile.Option {
	return []inifile.Option{
		{Key: "key_hash", Doc: "SHA-256 of its key, or @FILE that holds it.", Target: &o.KeyHash, Form: inifile.Hash, Required: true},
	}
}
