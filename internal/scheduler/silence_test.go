package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
)

// TestEndOfAProcess: only a look that was under way when its connection was closed, and a refused connection after it with no
// answer between, show that a worker's process has ended; a worker that lives closes idle connections too.
func TestEndOfAProcess(t *testing.T) {
	look := func(after time.Duration) func(h *shard, w *workerState) {
		return func(h *shard, w *workerState) { h.lookFailed(w, fleet.ErrHungUp, time.Now().Add(-after)) }
	}
	start := func(h *shard, w *workerState) { h.noteFailure(w, fleet.ErrHungUp, "start") }
	due := func(_ *shard, w *workerState) { w.Draining, w.leavesAt = true, time.Now().Add(-time.Millisecond) }
	refused := func(h *shard, w *workerState) { h.noteFailure(w, fleet.ErrNotListening, "start") }
	looked := func(_ *shard, w *workerState) { w.lookedAt = time.Now().Add(-100 * time.Millisecond) }
	answer := func(_ *shard, w *workerState) { w.heard(1) }
	for _, c := range []struct {
		name  string
		steps []func(h *shard, w *workerState)
		gone  bool
	}{
		{"hangs up on a look and refuses", []func(*shard, *workerState){look(time.Second), refused}, true},
		{"refuses, and hangs up later", []func(*shard, *workerState){refused, look(time.Second)}, false},
		{"refuses again after that", []func(*shard, *workerState){refused, look(time.Second), refused}, true},
		{"answers in between", []func(*shard, *workerState){look(time.Second), answer, refused}, false},
		{"closes a connection that was idle", []func(*shard, *workerState){start, refused}, false},
		{"closes it as a look is sent after another one", []func(*shard, *workerState){looked, look(5 * time.Millisecond), refused}, true},
		{"is due to leave and closes a connection", []func(*shard, *workerState){due, start, refused}, true},
		{"is due to leave and refuses", []func(*shard, *workerState){due, refused}, false},
		{"closes it as a look is sent", []func(*shard, *workerState){look(5 * time.Millisecond), refused}, false},
	} {
		h := keptShard()
		w := &workerState{runs: map[job.Task]*run{}, wake: make(chan struct{}, 1)}
		w.ID = "w"
		h.workers["w"] = w
		for _, step := range c.steps {
			step(h, w)
		}
		quicktest.Check(t, w.gone, quicktest.Equals, c.gone, quicktest.Commentf(c.name))
	}
}
