// Package cli implements the command line. Most subcommands have a file of their own.
package cli

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/pkg/caller"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Exit codes.
const (
	exitSuccess = 0
	exitFailure = 1 // The request was refused or failed.
	exitUsage   = 2 // The command line or an input file is invalid.
)

// subcommand describes one subcommand.
type subcommand struct {
	name  string
	usage string
	about string
	run   func(e *env, args []string) int
}

// env holds the output streams of a subcommand.
type env struct {
	out, err io.Writer
}

func subcommands() []subcommand {
	return []subcommand{
		{"demo", "demo [-site gujarat|yeongdong] [-boxes N] [-seed N] [-seconds N]", "run a site on embedded stand-ins through a burst with faults, and judge it", runDemo},
		{"box", "box -settings FILE", "run one box", runBox},
		{"standin", "standin -settings FILE", "run the stand-ins of the platform", runStandin},
		{"keys", "keys -site FILE -dir DIR [-boxes NAME,NAME] [-address IP]", "make the keys of a site", runKeys},
		{"check", "check FILE...", "check settings and site configurations", runCheck},
		{"submit", "submit -box URL -key FILE [options]", "submit a request and print what became of it", runSubmit},
		{"ask", "ask -box URL -key FILE COMMAND", "carry out an operator's command", runAsk},
		{"apply", "apply -box URL -key FILE [-replaces VERSION] SITE.ini", "put a site configuration in force", runApply},
		{"halls", "halls [-boxes URL,URL]", "print which halls boxes take as emptied, and how old that is", runHalls},
		{"why", "why [-boxes URL,URL] JOB", "print how a job stands and what it waits for, or why it has failed", runWhy},
		{"speeds", "speeds [-box URL,URL]", "print how fast workers are, as the box that schedules has learned", runSpeeds},
		{"explain", "explain JOB|TASK LOG|DIR...", "print a time line of a job or task from the logs of several boxes", runExplain},
		{"timeline", "timeline -box URL -key FILE [-job JOB]", "print the events of all boxes in order", runTimeline},
		{"load", "load -box URL -key FILE -workspace NAME [options]", "send small requests and measure them, against calling the executors directly", runLoad},
		{"trial", "trial [-sites NAMES] [-bursts NAMES] [-seeds FIRST-LAST]", "compare the decider with its baselines on bursts", runTrial},
		{"rig", "rig play [-keep DIR] FILE", "play a scenario with real processes over loopback, and judge it", runRig},
		{"soak", "soak [-seed N] [-seeds K] [-for TIME] [-keep] [-dir DIR]", "play drawn faults with real processes over loopback, and judge what workers and clients saw", runSoak},
		{"options", "options", "print every option of the settings and the site configuration", runOptions},
	}
}

// Run runs one command line and returns the exit code.
func Run(args []string, out, err io.Writer) int {
	e := &env{out, err}
	if len(args) == 0 {
		usage(err)
		return exitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		return help(e, args[1:])
	}
	for _, s := range subcommands() {
		if s.name == args[0] {
			return s.run(e, args[1:])
		}
	}
	fmt.Fprintf(err, "pulleyring: unknown subcommand %q\n", args[0])
	usage(err)
	return exitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: pulleyring SUBCOMMAND [options]; pulleyring help lists the subcommands")
}

func help(e *env, args []string) int {
	if len(args) > 0 {
		return Run([]string{args[0], "-h"}, e.out, e.err)
	}
	fmt.Fprintln(e.out, "pulleyring schedules multi-accelerator jobs under workspace guarantees.")
	fmt.Fprintln(e.out)
	for _, s := range subcommands() {
		fmt.Fprintf(e.out, "  pulleyring %s\n      %s\n", s.usage, s.about)
	}
	fmt.Fprintln(e.out, "\npulleyring SUBCOMMAND -h lists its options with units and defaults.")
	return exitSuccess
}

// flags returns the flag set of a subcommand.
func (e *env) flags(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(e.err)
	set.Usage = func() {
		w := set.Output()
		for _, s := range subcommands() {
			if s.name == name {
				fmt.Fprintf(w, "usage: pulleyring %s\n%s\n", s.usage, s.about)
			}
		}
		set.PrintDefaults()
	}
	return set
}

// parse parses the arguments. If done is true, the subcommand must exit with the code.
func (e *env) parse(set *flag.FlagSet, args []string) (code int, done bool) {
	for _, a := range args {
		if a == "-h" || a == "--help" || a == "-help" {
			set.SetOutput(e.out)
		}
	}
	err := set.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitSuccess, true
	case err != nil:
		return exitUsage, true
	}
	return 0, false
}

// fail prints an error and returns the given exit code.
func (e *env) fail(code int, err error) int {
	fmt.Fprintf(e.err, "pulleyring: %v\n", err)
	return code
}

// usageError prints what is wrong with the command line and returns exitUsage.
func (e *env) usageError(name, format string, args ...any) int {
	fmt.Fprintf(e.err, "pulleyring %s: "+format+"; see pulleyring %s -h\n", append(append([]any{name}, args...), name)...)
	return exitUsage
}

// access holds the options that say which boxes to connect to and with which key.
type access struct {
	box, key, authority string
	timeout             time.Duration
}

func (a *access) add(set *flag.FlagSet) {
	set.StringVar(&a.box, "box", "http://127.0.0.1:7411", "base `URL` of a box; several by commas")
	set.StringVar(&a.key, "key", "", "`file` with the key")
	set.StringVar(&a.authority, "authority", "", "PEM `file` of the authority of the boxes' listeners, for https")
	set.DurationVar(&a.timeout, "within", 30*time.Second, "longest `time` for the whole call")
}

// client returns a client for the boxes with the key.
func (a *access) client() (*caller.Client, error) {
	if a.key == "" {
		return nil, errors.New("-key names no file")
	}
	raw, err := os.ReadFile(a.key)
	if err != nil {
		return nil, errors.New("unable to read the key file " + a.key)
	}
	transport, err := transportFor(a.authority)
	if err != nil {
		return nil, err
	}
	return &caller.Client{Boxes: strings.Split(a.box, ","), Key: strings.TrimSpace(string(raw)), HTTP: &http.Client{Transport: transport}}, nil
}

// newLog returns a logger that writes lines of plain text without the source position.
func newLog(w io.Writer, level string) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.CallerKey = zapcore.OmitKey
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	return zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(config), zapcore.AddSync(w), parsed))
}
