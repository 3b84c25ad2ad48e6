package cli

import (
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pulleyring/pulleyring/internal/inifile"
	"github.com/pulleyring/pulleyring/internal/standin"
)

// standinSettings holds the settings of the stand-ins, which simulate the platform's services.
type standinSettings struct {
	Listen          string
	WritesPerSecond int
	ReadsPerSecond  int
	ListLag         time.Duration
	Seed            int
	TableSlow       time.Duration
	LoseAnswers     float64
	FailWorkers     []string
	LostWorkers     []string
	FailUpstreams   []string
}

func defaultStandin() standinSettings {
	return standinSettings{WritesPerSecond: 400, ReadsPerSecond: 2000, ListLag: 2 * time.Second, Seed: 1}
}

func (s *standinSettings) options() map[string][]inifile.Option {
	return map[string][]inifile.Option{
		"standin": {
			{Key: "listen", Doc: "Address of all stand-ins.", Target: &s.Listen, Form: inifile.Address, Required: true},
			{Key: "writes_per_second", Doc: "Transactions that the table takes; 0 means no limit.", Unit: "1/s", Target: &s.WritesPerSecond},
			{Key: "reads_per_second", Doc: "Reads that the table takes; 0 means no limit.", Unit: "1/s", Target: &s.ReadsPerSecond},
			{Key: "list_lag_ms", Doc: "Age of the list of live boxes.", Unit: "ms", Target: &s.ListLag},
			{Key: "seed", Doc: "Seed of the faults.", Target: &s.Seed},
		},
		"faults": {
			{Key: "table_slow_ms", Doc: "Added to each call of the table.", Unit: "ms", Target: &s.TableSlow},
			{Key: "table_lose_answers", Doc: "Share of commits whose answer is lost.", Target: &s.LoseAnswers, Max: 1},
			{Key: "fail_workers", Doc: "Workers that fail all they start.", Target: &s.FailWorkers},
			{Key: "lost_workers", Doc: "Workers that can't be reached.", Target: &s.LostWorkers},
			{Key: "fail_upstreams", Doc: "Executors that refuse all.", Target: &s.FailUpstreams},
		},
	}
}

// parseStandin parses the settings file of the stand-ins. The error lists every mistake found.
func parseStandin(name string, raw []byte) (*standinSettings, error) {
	s := defaultStandin()
	options := s.options()
	file := inifile.Parse(name, raw)
	hasStandin := false
	for _, section := range file.Sections() {
		if options[section.Kind] == nil {
			section.Add("", "standin, faults", "is an unknown section")
			continue
		}
		hasStandin = hasStandin || section.Kind == "standin"
		section.Read(options[section.Kind])
	}
	if !hasStandin {
		file.Findings.Add(name, "standin", "a section with listen", "is missing")
	}
	return &s, file.Findings.Err()
}

func (s *standinSettings) platform() *standin.Platform {
	p := standin.NewPlatform(uint64(s.Seed), s.WritesPerSecond, s.ReadsPerSecond, s.ListLag)
	p.Faults.Set(standin.Faults{
		TableSlowMS: s.TableSlow.Milliseconds(), TableLoseAnswers: s.LoseAnswers, FailWorkers: s.FailWorkers,
		LostWorkers: s.LostWorkers, FailUpstreams: s.FailUpstreams,
	})
	return p
}

func runStandin(e *env, args []string) int {
	set := e.flags("standin")
	file := set.String("settings", "", "settings `file`")
	if code, done := e.parse(set, args); done {
		return code
	}
	if *file == "" || set.NArg() > 0 {
		return e.usageError("standin", "-settings FILE is required and nothing else")
	}
	raw, err := os.ReadFile(*file)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	s, err := parseStandin(*file, raw)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	server := &http.Server{Addr: s.Listen, Handler: s.platform().Handler(), ReadHeaderTimeout: 10 * time.Second}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { <-signals; _ = server.Close() }()
	log := newLog(e.err, "info")
	log.Info("standin: serving on " + s.Listen)
	if err := server.ListenAndServe(); err != nil && err != http.ErrServerClosed {
		return e.fail(exitFailure, err)
	}
	return exitSuccess
}
