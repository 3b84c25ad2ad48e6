// Package settings parses the settings file of a box.
package settings

import (
	"cmp"
	"io"
	"time"

	"github.com/pulleyring/pulleyring/internal/ingress"
	"github.com/pulleyring/pulleyring/internal/inifile"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Box holds the settings of one box.
type Box struct {
	Name       string
	Hall       string // Availability zone in which the box runs.
	Listen     string // IP:port for callers and operators.
	LinkListen string // IP:port, UDP, for other boxes.

	Table    string // Base URL of the table service.
	Objects  string // Base URL of the object store.
	LiveList string // Base URL of the list of live boxes.

	Keys   Keys
	Budget Budget
	Lease  Lease
	Timing Timing
	Limits Limits
	Log    Log

	Operators []contract.Operator // May give commands before any site configuration is committed.
}

// Keys holds the names of the files with the box's certificates and keys, all in PEM.
type Keys struct {
	LinkCertificate string // Certificate for connections to other boxes.
	LinkKey         string // Private key of LinkCertificate.
	LinkAuthority   string // Certificate of the authority that signs the boxes' certificates.
	TLSCertificate  string // Certificate for connections from callers and operators; empty disables TLS.
	TLSKey          string
}

// Budget limits the rate of table calls of all boxes together.
type Budget struct {
	WritesPerSecond int
	ReadsPerSecond  int
}

// Lease holds the durations of the leases on workers.
type Lease struct {
	Hold  time.Duration // From holding a worker to starting the work there.
	Run   time.Duration // Length of a running gang's lease, counted from each renewal.
	Renew time.Duration // Interval of renewals.
	// Unchecked limits how long a box renews leases while it can't read the table. Another box may meanwhile have
	// recorded there that the gang is to stop.
	Unchecked time.Duration
}

// Timing holds intervals, timeouts and delays.
type Timing struct {
	Pass          time.Duration // Interval of a hall's scheduling passes.
	Refresh       time.Duration // Interval of reading the table when no change is announced.
	Heartbeat     time.Duration
	DeadAfter     time.Duration // Time without a heartbeat after which a box is considered dead.
	BalancerDelay time.Duration // Time that the load balancer needs to notice that a box is not ready.
	StopWithin    time.Duration // Longest time that a planned stop waits for requests in flight.
	LinkDelay     time.Duration // One-way delay added to messages between halls, to simulate distances on loopback.
}

// Limits bounds the requests that a box accepts and the data that it keeps.
type Limits struct {
	BodyBytes         int
	InFlight          int // Small requests in progress at the same time.
	WaitingPerSpace   int // Unfinished jobs of one workspace.
	TimelineEvents    int
	RetryShare        float64 // Allowed retries as a share of first attempts, from 0 to 1.
	EjectShare        float64 // Largest share of upstreams ejected at the same time, from 0 to 1.
	UpstreamTimeout   time.Duration
	UnrecordedSettled int // Settled repeatable requests that are not yet recorded in the table.
	AnswerInlineBytes int // Larger answers are written to the object store.
	MemoryMB          int // Memory of the machine, in MiB; 0 if unknown.
	Descriptors       int // File descriptors of the machine; 0 if unknown.
	// Clients holds the limits of clients that are set. The size of the machine determines the others, which are 0.
	Clients        ingress.Limits
	ClientMemoryMB int // Memory of the requests that are received or handled, in MiB; 0 to derive it.
}

// Ingress returns the limits of clients, which come over TLS or not.
func (l *Limits) Ingress(overTLS bool) ingress.Limits {
	set, derived := l.Clients, ingress.MachineLimits(l.MemoryMB, l.Descriptors)
	if overTLS {
		derived = ingress.OverTLS(derived)
	}
	return ingress.Limits{
		Connections: cmp.Or(set.Connections, derived.Connections), Bytes: cmp.Or(int64(l.ClientMemoryMB)<<20, derived.Bytes),
		HeaderBytes: cmp.Or(set.HeaderBytes, derived.HeaderBytes), HeaderLines: cmp.Or(set.HeaderLines, derived.HeaderLines),
		HeaderTime: cmp.Or(set.HeaderTime, derived.HeaderTime), BodyTime: cmp.Or(set.BodyTime, derived.BodyTime),
		WriteTime: cmp.Or(set.WriteTime, derived.WriteTime), IdleTime: cmp.Or(set.IdleTime, derived.IdleTime), MinAge: derived.MinAge,
	}
}

// Log holds the settings of logging.
type Log struct {
	Level string
}

// Defaults returns the default settings.
func Defaults() Box {
	return Box{
		Budget: Budget{WritesPerSecond: 400, ReadsPerSecond: 2000},
		Lease:  Lease{Hold: 3 * time.Second, Run: 10 * time.Second, Renew: 2 * time.Second, Unchecked: 10 * time.Minute},
		Timing: Timing{
			Pass: 100 * time.Millisecond, Refresh: time.Second,
			Heartbeat: 150 * time.Millisecond, DeadAfter: 600 * time.Millisecond,
			BalancerDelay: 3 * time.Second, StopWithin: 60 * time.Second,
		},
		Limits: Limits{
			BodyBytes: 1 << 20, InFlight: 512, WaitingPerSpace: 10000, TimelineEvents: 20000,
			RetryShare: 0.1, EjectShare: 0.4, UpstreamTimeout: 30 * time.Second, UnrecordedSettled: 20000,
			AnswerInlineBytes: 16 << 10,
		},
		Log: Log{Level: "info"},
	}
}

// section describes one section of the settings file.
type section struct {
	name    string
	options []inifile.Option
}

func (b *Box) sections() []section {
	return []section{
		{"box", []inifile.Option{
			{Key: "name", Doc: "Name of the box, unique in the site.", Target: &b.Name, Form: inifile.Name, Required: true},
			{Key: "hall", Doc: "Hall that the box stands in.", Target: &b.Hall, Form: inifile.Name, Required: true},
			{Key: "listen", Doc: "Address for callers and operators, TCP.", Target: &b.Listen, Form: inifile.Address, Required: true},
			{Key: "link_listen", Doc: "Address for other boxes, UDP.", Target: &b.LinkListen, Form: inifile.Address, Required: true},
		}},
		{"platform", []inifile.Option{
			{Key: "table", Doc: "Table service.", Target: &b.Table, Form: inifile.URL, Required: true},
			{Key: "objects", Doc: "Object store.", Target: &b.Objects, Form: inifile.URL, Required: true},
			{Key: "live_list", Doc: "List of live and leaving boxes.", Target: &b.LiveList, Form: inifile.URL, Required: true},
		}},
		{"keys", []inifile.Option{
			{Key: "link_certificate", Doc: "PEM file with the certificate towards other boxes.", Target: &b.Keys.LinkCertificate, Required: true},
			{Key: "link_key", Doc: "PEM file with its private key.", Target: &b.Keys.LinkKey, Required: true},
			{Key: "link_authority", Doc: "PEM file of the authority that signs the boxes' certificates.", Target: &b.Keys.LinkAuthority, Required: true},
			{Key: "tls_certificate", Doc: "PEM file with the certificate towards callers; empty serves without TLS.", Target: &b.Keys.TLSCertificate},
			{Key: "tls_key", Doc: "PEM file with its private key.", Target: &b.Keys.TLSKey},
		}},
		{"budget", []inifile.Option{
			{Key: "writes_per_second", Doc: "Table transactions of all boxes together.", Unit: "1/s", Target: &b.Budget.WritesPerSecond, Min: 1, Max: 100000},
			{Key: "reads_per_second", Doc: "Table reads of all boxes together.", Unit: "1/s", Target: &b.Budget.ReadsPerSecond, Min: 1, Max: 100000},
		}},
		{"lease", []inifile.Option{
			{Key: "hold_ms", Doc: "Lease from hold to go.", Unit: "ms", Target: &b.Lease.Hold, Min: 100, Max: 60000},
			{Key: "run_ms", Doc: "Lease of a running gang.", Unit: "ms", Target: &b.Lease.Run, Min: 500, Max: 600000},
			{Key: "renew_ms", Doc: "Interval of renewals; at most a third of run_ms.", Unit: "ms", Target: &b.Lease.Renew, Min: 50, Max: 200000},
			{Key: "unchecked_ms", Doc: "Longest time for which gangs are renewed while the table is out; a gang whose worker is silent waits as long before it starts elsewhere. At least hold_ms.", Unit: "ms", Target: &b.Lease.Unchecked, Min: 1000, Max: 86400000},
		}},
		{"timing", b.timingOptions()},
		{"limits", b.limitOptions()},
		{"log", []inifile.Option{
			{Key: "level", Doc: "Least level that is logged.", Target: &b.Log.Level, Choices: []string{"debug", "info", "warn", "error"}},
		}},
	}
}

func (b *Box) timingOptions() []inifile.Option {
	return []inifile.Option{
		{Key: "pass_ms", Doc: "Between two passes of a hall's decider.", Unit: "ms", Target: &b.Timing.Pass, Min: 10, Max: 60000},
		{Key: "refresh_ms", Doc: "Between two looks at the table without news.", Unit: "ms", Target: &b.Timing.Refresh, Min: 50, Max: 60000},
		{Key: "heartbeat_ms", Doc: "Between two heartbeats.", Unit: "ms", Target: &b.Timing.Heartbeat, Min: 20, Max: 10000},
		{Key: "dead_after_ms", Doc: "Silence after which a box counts as dead; at least three heartbeats.", Unit: "ms", Target: &b.Timing.DeadAfter, Min: 60, Max: 60000},
		{Key: "balancer_delay_ms", Doc: "Time the balancer takes to notice that the box is not ready.", Unit: "ms", Target: &b.Timing.BalancerDelay, Max: 600000},
		{Key: "stop_within_ms", Doc: "Most time that a planned stop waits for work in flight.", Unit: "ms", Target: &b.Timing.StopWithin, Min: 1000, Max: 3600000},
		{Key: "link_delay_ms", Doc: "Delay added to messages between boxes, to try a site's distances on loopback.", Unit: "ms", Target: &b.Timing.LinkDelay, Max: 1000},
	}
}

func (b *Box) limitOptions() []inifile.Option {
	return []inifile.Option{
		{Key: "body_bytes", Doc: "Largest body of a request.", Unit: "bytes", Target: &b.Limits.BodyBytes, Min: 1024, Max: 64 << 20},
		{Key: "in_flight", Doc: "Small requests in flight at once.", Target: &b.Limits.InFlight, Min: 1, Max: 100000},
		{Key: "waiting_per_workspace", Doc: "Unfinished jobs of one workspace in a hall.", Target: &b.Limits.WaitingPerSpace, Min: 1, Max: 1000000},
		{Key: "timeline_events", Doc: "Events of the time line kept in memory.", Target: &b.Limits.TimelineEvents, Min: 100, Max: 10000000},
		{Key: "retry_share", Doc: "Retries allowed as a share of first tries.", Target: &b.Limits.RetryShare, Max: 1},
		{Key: "eject_share", Doc: "Most upstreams ejected at once, as a share.", Target: &b.Limits.EjectShare, Max: 0.9},
		{Key: "upstream_timeout_ms", Doc: "Longest wait for an executor's answer.", Unit: "ms", Target: &b.Limits.UpstreamTimeout, Min: 10, Max: 3600000},
		{Key: "unrecorded_settled", Doc: "Settled repeatable requests whose record may wait for the table.", Target: &b.Limits.UnrecordedSettled, Min: 1, Max: 10000000},
		{Key: "answer_inline_bytes", Doc: "Larger answers go to the object store.", Unit: "bytes", Target: &b.Limits.AnswerInlineBytes, Min: 256, Max: 1 << 20},
		{Key: "memory_mb", Doc: "Memory of the machine; 0: unknown, taken as 256 for the limits of clients.", Unit: "MiB", Target: &b.Limits.MemoryMB, Max: 1 << 24},
		{Key: "descriptors", Doc: "File descriptors of the machine; 0: unknown, taken as 4096 for the limits of clients.", Target: &b.Limits.Descriptors, Max: 1 << 24},
		{Key: "connections", Doc: "Open connections of clients; 0: half of the descriptors less 200, or what 0.3 of the memory carries.", Target: &b.Limits.Clients.Connections, Max: 1 << 24},
		{Key: "client_memory_mb", Doc: "Memory of the requests that are received or handled; 0: 0.15 of memory_mb.", Unit: "MiB", Target: &b.Limits.ClientMemoryMB, Max: 1 << 24},
		{Key: "head_bytes", Doc: "Request line and header of a request; 0: 16384.", Unit: "bytes", Target: &b.Limits.Clients.HeaderBytes, Max: 1 << 20},
		{Key: "head_lines", Doc: "Lines of the request line and header; 0: 100.", Target: &b.Limits.Clients.HeaderLines, Max: 10000},
		{Key: "head_ms", Doc: "Time from the first byte of a request to the end of its header; 0: 5000.", Unit: "ms", Target: &b.Limits.Clients.HeaderTime, Max: 3600000},
		{Key: "body_ms", Doc: "Time from the end of the header to the end of the body; 0: 15000.", Unit: "ms", Target: &b.Limits.Clients.BodyTime, Max: 3600000},
		{Key: "write_ms", Doc: "Time for which a client may take nothing of its response; 0: 10000.", Unit: "ms", Target: &b.Limits.Clients.WriteTime, Max: 3600000},
		{Key: "idle_ms", Doc: "Time between two requests on a connection; 0: 300000.", Unit: "ms", Target: &b.Limits.Clients.IdleTime, Max: 86400000},
	}
}

// Parse parses a box's settings. The error lists every mistake found.
func Parse(name string, raw []byte) (*Box, error) {
	file := inifile.Parse(name, raw)
	box := Defaults()
	known := map[string][]inifile.Option{}
	missing := map[string]bool{}
	for _, s := range box.sections() {
		known[s.name] = s.options
		for _, o := range s.options {
			missing[s.name] = missing[s.name] || o.Required
		}
	}
	for _, s := range file.Sections() {
		if s.Kind == "operator" {
			box.readOperator(s)
			continue
		}
		options, ok := known[s.Kind]
		if !ok || s.Name != "" {
			s.Add("", "box, platform, keys, budget, lease, timing, limits, log, operator.NAME", "is an unknown section")
			continue
		}
		delete(missing, s.Kind)
		s.Read(options)
		box.checkSection(s)
	}
	for _, s := range box.sections() {
		if missing[s.name] {
			file.Findings.Add(name, s.name, "a section with its required keys", "is missing")
		}
	}
	if err := file.Findings.Err(); err != nil {
		return nil, err
	}
	return &box, nil
}

func (b *Box) readOperator(s inifile.Section) {
	o := contract.Operator{Name: s.Name}
	if !inifile.ValidName(s.Name) {
		s.Add("", "operator.NAME of letters, digits, - and _", "has no proper name")
	}
	s.Read([]inifile.Option{{Key: "key_hash", Doc: "SHA-256 of its key.", Target: &o.KeyHash, Form: inifile.Hash, Required: true}})
	b.Operators = append(b.Operators, o)
}

// checkSection reports values of a section that contradict each other.
func (b *Box) checkSection(s inifile.Section) {
	switch s.Kind {
	case "lease":
		if b.Lease.Renew*3 > b.Lease.Run {
			s.Add("renew_ms", "at most a third of run_ms", "%d is too long for run_ms %d", b.Lease.Renew.Milliseconds(), b.Lease.Run.Milliseconds())
		}
		if b.Lease.Unchecked < b.Lease.Hold {
			s.Add("unchecked_ms", "at least hold_ms", "%d is too short for hold_ms %d", b.Lease.Unchecked.Milliseconds(), b.Lease.Hold.Milliseconds())
		}
	case "timing":
		if b.Timing.Heartbeat*3 > b.Timing.DeadAfter {
			s.Add("dead_after_ms", "at least three times heartbeat_ms", "%d is too short for heartbeat_ms %d", b.Timing.DeadAfter.Milliseconds(), b.Timing.Heartbeat.Milliseconds())
		}
	case "keys":
		if (b.Keys.TLSCertificate == "") != (b.Keys.TLSKey == "") {
			s.Add("tls_key", "both tls_certificate and tls_key, or neither", "one is set without the other")
		}
	}
}

// Describe writes the documentation of every option in a box's settings file.
func Describe(w io.Writer) {
	box := Defaults()
	for _, s := range box.sections() {
		inifile.Describe(w, s.name, s.options)
	}
}
