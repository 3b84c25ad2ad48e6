package cli

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/inifile"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/internal/site"
	"github.com/pulleyring/pulleyring/pkg/finding"
	"github.com/pulleyring/pulleyring/platform"
)

func runCheck(e *env, args []string) int {
	set := e.flags("check")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() == 0 {
		return e.usageError("check", "name at least one file")
	}
	code := exitSuccess
	names := boxFiles{}
	for _, name := range set.Args() {
		if err := names.checkFile(name); err != nil {
			printFindings(e, name, err)
			code = exitUsage
		}
	}
	return code
}

// boxFiles maps the names of boxes to the settings files already checked.
type boxFiles map[string]string

// add records the settings file of a box. It returns an error if another file names the same box: when a second
// process starts with a box's name, the first one ends.
func (b boxFiles) add(box, file string) error {
	if other := b[box]; other != "" && other != file {
		return errors.Errorf("box %s has these settings in %s too; of two starts of a box the earlier one ends", box, other)
	}
	b[box] = file
	return nil
}

// printFindings prints each finding on a line of its own.
func printFindings(e *env, name string, err error) {
	var list finding.List
	if !errors.As(err, &list) {
		fmt.Fprintf(e.out, "%s: %v\n", name, err)
		return
	}
	for _, f := range list {
		fmt.Fprintln(e.out, f)
	}
}

// checkFile checks a site configuration, or the settings of a box or of the stand-ins. The sections in the file tell
// which it is; a file without sections holds the settings of a box on the platform.
func (b boxFiles) checkFile(name string) error {
	raw, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if raw, err = expandFileValues(name, raw); err != nil {
		return err
	}
	kinds := map[string]bool{}
	for _, s := range inifile.Parse(name, raw).Sections() {
		kinds[s.Kind] = true
	}
	switch {
	case len(kinds) == 0 && platform.IsSettings(raw):
		s, err := platform.ParseSettings(name, raw)
		if err != nil {
			return err
		}
		return b.add(s.Box, name)
	case kinds["site"] || kinds["rack"] || kinds["workspace"]:
		_, _, err = loadSite(name)
	case kinds["standin"]:
		_, err = parseStandin(name, raw)
	default:
		s, err := settings.Parse(name, raw)
		if err != nil {
			return err
		}
		return b.add(s.Name, name)
	}
	return err
}

// loadSite reads and validates a site configuration. It returns its text, in which the content of FILE replaces every
// value @FILE, and the number of workspaces. File names are relative to the configuration's directory.
func loadSite(name string) (string, int, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return "", 0, err
	}
	raw, err = expandFileValues(name, raw)
	if err != nil {
		return "", 0, err
	}
	parsed, err := site.Parse(name, raw)
	if err != nil {
		return "", 0, err
	}
	return string(raw), len(parsed.Workspaces), nil
}

// expandFileValues replaces every value @FILE with the content of FILE, relative to the directory of the document.
func expandFileValues(name string, raw []byte) ([]byte, error) {
	return site.Expand(raw, func(file string) ([]byte, error) {
		return os.ReadFile(filepath.Join(filepath.Dir(name), file))
	})
}

func runOptions(e *env, args []string) int {
	set := e.flags("options")
	if code, done := e.parse(set, args); done {
		return code
	}
	fmt.Fprintln(e.out, "Settings of a box:")
	fmt.Fprintln(e.out)
	settings.Describe(e.out)
	fmt.Fprintln(e.out, "Settings of a box on the platform, lines KEY=VALUE:")
	fmt.Fprintln(e.out)
	platform.Describe(e.out)
	fmt.Fprintln(e.out, "Site configuration:")
	fmt.Fprintln(e.out)
	site.Describe(e.out)
	fmt.Fprintln(e.out, "Settings of the stand-ins:")
	fmt.Fprintln(e.out)
	standin := defaultStandin()
	for _, name := range []string{"standin", "faults"} {
		inifile.Describe(e.out, name, standin.options()[name])
	}
	return exitSuccess
}
