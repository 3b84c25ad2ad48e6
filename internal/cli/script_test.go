package cli

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pulleyring": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScript runs the scripts in testdata/script against the real commands. A script can use the free ports $PORT0 to
// $PORT9.
func TestScript(t *testing.T) {
	root, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			e.Vars = append(e.Vars, "ROOT="+root)
			for i := range 10 {
				port, err := freePort()
				if err != nil {
					return err
				}
				e.Vars = append(e.Vars, fmt.Sprintf("PORT%d=%d", i, port))
			}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fill":  fill,
			"await": await,
		},
	})
}

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// fill expands the environment variables in files: fill FILE...
func fill(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), func(key string) string {
			return strings.TrimSpace(ts.Getenv(key))
		})
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// await waits until every port accepts connections: await PORT...
func await(_ *testscript.TestScript, _ bool, args []string) {
	for _, port := range args {
		for {
			conn, err := net.Dial("tcp", "127.0.0.1:"+port)
			if err == nil {
				_ = conn.Close()
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}
