package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
)

// gatedWriter blocks every write until the channel open is closed.
type gatedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (g *gatedWriter) Write(line []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(line)
}

// A slow or blocked log output must not block the code that logs.
// The log must say that lines were dropped, and the buffered lines must not be lost.
func TestWriteNeverBlocksAndReportsDroppedLines(t *testing.T) {
	out := &gatedWriter{open: make(chan struct{})}
	s := New(out)
	for range 2 * bufferedLines {
		n, err := s.Write([]byte("line\n"))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, n, quicktest.Equals, 5)
	}
	close(out.open)
	s.Close()
	text := out.text.String()
	quicktest.Assert(t, text, quicktest.Contains, "lines were dropped")
	quicktest.Assert(t, strings.Count(text, "line\n") >= bufferedLines, quicktest.IsTrue)
	quicktest.Assert(t, strings.Count(text, "line\n") < 2*bufferedLines, quicktest.IsTrue)
}
