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
	in      io.WriteCloser // Its standard input; a role ends when it is closed.
	out     io.ReadCloser
	log     *os.File
	address string // Where it listens, for roles of the rig.
	ended   bool
}

// startProcess starts a program whose logs go to files with a common beginning.
func startProcess(program string, args, env []string, logs string) (*process, error) {
	p := &process{name: filepath.Base(logs), command: exec.Command(program, args...)}
	p.command.Env = append(os.Environ(), env...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if p.in, err = p.command.StdinPipe(); err != nil {
		return nil, errors.Wrap(err, "rig: no pipe")
	}
	if p.out, err = p.command.StdoutPipe(); err != nil {
		return nil, errors.Wrap(err, "rig: no pipe")
	}
	if p.log, err = os.Create(logs + ".log"); err != nil {
		return nil, errors.Wrap(err, "rig: no log")
	}
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "rig: unable to start %s", p.name)
	}
	return p, nil
}

// tell writes a line to a role's standard input.
func (p *process) tell(text string) error {
	_, err := fmt.Fprintln(p.in, text)
	return errors.Wrapf(err, "rig: unable to tell %s", p.name)
}

func (p *process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(s), "rig: unable to signal %s", p.name)
}

// kill ends the process and waits for its end; it does so once.
func (p *process) kill() {
	if p.ended {
		return
	}
	p.ended = true
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
