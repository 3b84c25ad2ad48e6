package node

import (
	"testing"

	"pgregory.net/rapid"
)

// TestRandomCalms plays the scripts of TestRandomLives and submits jobs some time after all faults have ended. It
// fails if a job has nothing running for 3 s although there is free capacity for it twice over, because a box still
// keeps wrong state of workers, tasks or capacity. The other random tests only notice jobs that wait forever, not
// those that wait for a minute.
func TestRandomCalms(t *testing.T) { checkDrawn(t, drawCalm) }

func drawCalm(r *rapid.T, shard int) []string {
	s := &workerScript{script: &script{T: r, lines: drawLostWorkers(r, shard), killed: map[string]bool{}, gone: map[string]bool{}}, names: drawnNames}
	s.jobs = drawnNames
	s.add("sleep 21s") // Every wait that the faults caused has ended by then.
	for range rapid.IntRange(1, 6).Draw(r, "jobs in calm") {
		s.job(1)
		s.pause(6000)
	}
	return s.lines
}

// drawnNames is larger than every number that the first part of a script uses in a name.
const drawnNames = 1000
