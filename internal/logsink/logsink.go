// Package logsink writes log lines without ever making the writer wait: lines go through a bounded buffer, and those that
// find it full are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// bufferedLines bounds the lines that wait to be written, about 300 bytes each.
const bufferedLines = 4096

// Sink is a zapcore.WriteSyncer. Make it with New.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferedLines)}
	s.done.Go(func() { s.run(out) })
	return s
}

func (s *Sink) run(out io.Writer) {
	for line := range s.lines {
		if n := s.dropped.Swap(0); n > 0 {
			fmt.Fprintf(out, "{\"level\":\"warn\",\"time\":%q,\"msg\":\"log: lines were dropped\",\"dropped\":%d}\n",
				time.Now().Format(time.RFC3339Nano), n)
		}
		if _, err := out.Write(line); err != nil {
			return // Nobody reads the log any more; the lines that follow are dropped.
		}
	}
}

// Write implements io.Writer; it never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; the lines are on their way.
func (s *Sink) Sync() error { return nil }

// Close writes what waits. Nothing may be written after it.
func (s *Sink) Close() {
	close(s.lines)
	s.done.Wait()
}

// Error is a field with an error's text alone: zap would add the stack that the error was made at, which is no use to
// operators and ten times as long.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
