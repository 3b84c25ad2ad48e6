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

// process is a process that the rig has started.
type process struct {
	name         string
	command      *exec.Cmd
	in           io.WriteCloser // Standard input. The rig's own processes end when it is closed.
	out          io.ReadCloser
	log          *os.File
	address      string // Address on which one of the rig's own processes listens.
	ended        chan struct{}
	isWorker     bool // It receives the events of gang members on other workers.
	exitExpected bool // The rig has killed it, told it to end or already recorded its end.
}

// startProcess starts a program and writes its standard error to a log file.
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
			return nil, errors.Wrap(e, "rig: unable to open the pipes or the log of a process")
		}
	}
	p.command.Stderr = p.log
	return p, errors.Wrapf(p.command.Start(), "rig: unable to start %s", p.name)
}

// sendLine writes a command line to one of the rig's own processes.
func (p *process) sendLine(text string) error {
	_, err := fmt.Fprintln(p.in, text)
	return errors.Wrapf(err, "rig: unable to send a command to %s", p.name)
}

// copyOutput copies each line of the process's output to its log and passes it to handle, until the process has ended.
func (p *process) copyOutput(handle func(text string)) {
	defer close(p.ended)
	defer p.log.Close()
	for lines := bufio.NewScanner(p.out); lines.Scan(); {
		fmt.Fprintln(p.log, lines.Text())
		handle(lines.Text())
	}
	_, _ = p.command.Process.Wait()
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.exitExpected = true
	_ = p.command.Process.Kill() // An error means that it has ended already.
	<-p.ended
	_ = p.in.Close()
	_ = p.out.Close()
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
