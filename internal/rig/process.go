package rig

import (
	"bufio"
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
	ended   chan struct{}
	// isWorker says that it hears of the members of gangs on other workers.
	isWorker bool
	asked    bool // The rig has ended it, or told it to end.
}

// startProcess starts a program whose log goes to a file.
func startProcess(program string, args, env []string, log string) (*process, error) {
	p := &process{name: filepath.Base(log), command: exec.Command(program, args...), ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), env...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err, outErr, logErr error
	p.in, err = p.command.StdinPipe()
	p.out, outErr = p.command.StdoutPipe()
	p.log, logErr = os.OpenFile(log+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
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

// follow passes on each line of its output, which goes to its log too, until it has ended.
func (p *process) follow(seen func(text string)) {
	defer close(p.ended)
	defer p.log.Close()
	for lines := bufio.NewScanner(p.out); lines.Scan(); {
		fmt.Fprintln(p.log, lines.Text())
		seen(lines.Text())
	}
	_, _ = p.command.Process.Wait()
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.asked = true
	_ = p.command.Process.Kill() // One that has ended is waited for all the same.
	<-p.ended
	_ = p.in.Close()
	_ = p.out.Close()
}

// hasEnded reports whether the process is over.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
