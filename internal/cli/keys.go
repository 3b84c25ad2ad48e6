package cli

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/identity"
	"github.com/pulleyring/pulleyring/internal/inifile"
)

func runKeys(e *env, args []string) int {
	set := e.flags("keys")
	siteFile := set.String("site", "", "site configuration `file` that names callers and operators")
	dir := set.String("dir", "", "`directory` to write to; existing files are kept")
	boxes := set.String("boxes", "box-1,box-2,box-3", "`names` of the boxes, by commas")
	address := set.String("address", "127.0.0.1", "`IP` of the boxes' listeners")
	if code, done := e.parse(set, args); done {
		return code
	}
	if *siteFile == "" || *dir == "" || set.NArg() > 0 {
		return e.usageError("keys", "-site FILE and -dir DIR are required")
	}
	raw, err := os.ReadFile(*siteFile)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	ip := net.ParseIP(*address)
	if ip == nil {
		return e.usageError("keys", "%q is no IP", *address)
	}
	written, err := makeKeys(*siteFile, raw, *dir, strings.Split(*boxes, ","), ip)
	if err != nil {
		return e.fail(exitFailure, err)
	}
	fmt.Fprintf(e.out, "made %d files in %s\n", written, *dir)
	return exitSuccess
}

// makeKeys creates the missing files: the authority with the boxes' certificates, and a key with its hash for every
// caller and operator. It returns the number of files written.
func makeKeys(name string, raw []byte, dir string, boxes []string, ip net.IP) (int, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return 0, errors.Wrap(err, "keys: unable to make the directory")
	}
	written, err := makeCertificates(name, dir, boxes, ip)
	if err != nil {
		return written, err
	}
	for _, s := range inifile.Parse(name, raw).Sections() {
		if s.Kind != "caller" && s.Kind != "operator" || !inifile.ValidName(s.Name) {
			continue
		}
		n, err := makeKey(dir, s.Name)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func makeKey(dir, name string) (int, error) {
	file := filepath.Join(dir, name+".key")
	if _, err := os.Stat(file); err == nil {
		return 0, nil
	}
	key, hash := identity.NewKey(name)
	if err := os.WriteFile(file, []byte(key+"\n"), 0o600); err != nil {
		return 0, errors.Wrap(err, "keys: unable to write")
	}
	err := os.WriteFile(filepath.Join(dir, name+".hash"), []byte(hash+"\n"), 0o600)
	return 2, errors.Wrap(err, "keys: unable to write")
}

// makeCertificates creates an authority and a certificate for each box, and returns the number of files written. The
// authority's private key is not stored, so if one certificate is missing, all are created again.
func makeCertificates(site, dir string, boxes []string, ip net.IP) (int, error) {
	missing := false
	for _, box := range boxes {
		if _, err := os.Stat(filepath.Join(dir, box+".crt")); err != nil {
			missing = true
		}
	}
	if !missing {
		return 0, nil
	}
	authority, err := identity.NewAuthority(site)
	if err != nil {
		return 0, err
	}
	if err := identity.WriteAuthority(authority.Certificate.Raw, filepath.Join(dir, "authority.crt")); err != nil {
		return 0, err
	}
	for _, box := range boxes {
		if !inifile.ValidName(box) {
			return 0, errors.Errorf("keys: %q is no name of a box", box)
		}
		certificate, err := authority.Issue(box, ip)
		if err != nil {
			return 0, err
		}
		base := filepath.Join(dir, box)
		if err := identity.WriteCertificate(certificate, base+".crt", base+".pem"); err != nil {
			return 0, err
		}
	}
	return 1 + 2*len(boxes), nil
}
