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
)

func runCheck(e *env, args []string) int {
	set := e.flags("check")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() == 0 {
		return e.usageError("check", "name at least one file")
	}
	code := exitGood
	for _, name := range set.Args() {
		if err := checkFile(name); err != nil {
			printFindings(e, name, err)
			code = exitUsage
		}
	}
	return code
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

// checkFile checks a file by what its sections say it is: settings of a box, of the stand-ins, or a site.
func checkFile(name string) error {
	raw, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if raw, err = expandBeside(name, raw); err != nil {
		return err
	}
	kinds := map[string]bool{}
	for _, s := range inifile.Parse(name, raw).Sections() {
		kinds[s.Kind] = true
	}
	switch {
	case kinds["site"] || kinds["rack"] || kinds["workspace"]:
		_, _, err = loadSite(name)
	case kinds["standin"]:
		_, err = parseStandin(name, raw)
	default:
		_, err = settings.Parse(name, raw)
	}
	return err
}

// loadSite reads a site configuration and returns its text with every @FILE replaced, relative to the file itself.
func loadSite(name string) (string, int, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return "", 0, err
	}
	raw, err = expandBeside(name, raw)
	if err != nil {
		return "", 0, err
	}
	parsed, err := site.Parse(name, raw)
	if err != nil {
		return "", 0, err
	}
	return string(raw), len(parsed.Workspaces), nil
}

// expandBeside replaces every @FILE of a document, relative to the document's own file.
func expandBeside(name string, raw []byte) ([]byte, error) {
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
	fmt.Fprintln(e.out, "Site configuration:")
	fmt.Fprintln(e.out)
	site.Describe(e.out)
	fmt.Fprintln(e.out, "Settings of the stand-ins:")
	fmt.Fprintln(e.out)
	standin := defaultStandin()
	for _, name := range []string{"standin", "faults"} {
		inifile.Describe(e.out, name, standin.options()[name])
	}
	return exitGood
}
