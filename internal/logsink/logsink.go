// Package logsink writes log lines without blocking the caller. Lines pass through a bounded buffer;
// lines that arrive while the buffer is full are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// bufferedLines is the maximum number of lines that wait to be written; a line has about 300 bytes.
const bufferedLines = 4096

// Sink is a zapcore.WriteSyncer that writes in the background. Create it with New.
type Sink struct {
	lines   chan []byte  // Lines waiting to be written.
	dropped atomic.Int64 // Lines dropped since the last report in the log.
	done    sync.WaitGroup
}

// New returns a sink that writes to out until Close is called.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferedLines)}
	s.done.Go(func() { s.run(out) })
	return s
}

// run writes the buffered lines to out. After dropped lines it first writes a warning with their number.
func (s *Sink) run(out io.Writer) {
	for line := range s.lines {
		if n := s.dropped.Swap(0); n > 0 {
			fmt.Fprintf(out, "{\"level\":\"warn\",\"time\":%q,\"msg\":\"log: lines were dropped\",\"dropped\":%d}\n",
				time.Now().Format(time.RFC3339Nano), n)
		}
		if _, err := out.Write(line); err != nil {
			return // The output is closed or broken: all later lines are dropped.
		}
	}
}

// Write implements io.Writer. It never blocks and never returns an error; it drops the line if the buffer is full.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: buffered lines are written in the background.
func (s *Sink) Sync() error { return nil }

// Close writes the buffered lines and stops the sink. Write must not be called after Close.
func (s *Sink) Close() {
	close(s.lines)
	s.done.Wait()
}

// Error returns a log field "error" with the text of err, or an empty field for a nil error. zap.Error would also log
// the stack trace of the error, which is ten times as long and of no use to operators.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
