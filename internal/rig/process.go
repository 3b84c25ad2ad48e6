package rig

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
)

// process is one that the rig has started.
type process struct {
	name    string
	command *exec.Cmd
	in      io.WriteCloser // Its standard input; a process of the rig's own ends when it is closed.
	out     io.ReadCloser
	log     *os.File
	address string // Where it listens, for the rig's own.
}

// startProcess starts a program whose log goes to a file.
func startProcess(program string, args, env []string, log string) (*process, error) {
	p := &process{name: filepath.Base(log), command: exec.Command(program, args...)}
	p.command.Env = append(os.Environ(), env...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err, outErr, logErr error
	p.in, err = p.command.StdinPipe()
	p.out, outErr = p.command.StdoutPipe()
	p.log, logErr = os.Create(log + ".log")
	for _, e := range []error{err, outErr, logErr} {
		if e != nil {
			return nil, errors.Wrap(e, "rig: no pipe or log for a process")
		}
	}
	p.command.Stderr = p.log
	return p, errors.Wrapf(p.command.Start(), "rig: unable to start %s", p.name)
}

// tell writes a line to a process of the rig's own.
func (p *process) tell(text string) error {
	_, err := fmt.Fprintln(p.in, text)
	return errors.Wrapf(err, "rig: unable to tell %s", p.name)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill() // One that has ended is waited for all the same.
	_, _ = p.command.Process.Wait()
	_ = p.in.Close()
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func freePort() (int, error) {
	l, err := net.Listen("tcp", loopback(0))
	if err != nil {
		return 0, errors.Wrap(err, "rig: no free port")
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}
