package node

import (
	"testing"

	"pgregory.net/rapid"
)

// TestRandomCalms plays the drawn scripts of TestRandomLives, and then hands jobs in once all has been well for long: whatever boxes believe of workers,
// tasks and room after all that, no job has nothing running for 3 s beside room for it twice over. What waits for ever fails the other drawn scripts too;
// what waits for a minute went unnoticed in them.
func TestRandomCalms(t *testing.T) { checkDrawn(t, drawCalm) }

func drawCalm(r *rapid.T, shard int) []string {
	s := &workerScript{script: &script{T: r, lines: drawLostWorkers(r, shard), killed: map[string]bool{}, gone: map[string]bool{}}, names: drawnNames}
	s.jobs = drawnNames
	s.add("sleep 21s") // All has been well for long.
	for range rapid.IntRange(1, 6).Draw(r, "jobs in calm") {
		s.job(1)
		s.pause(6000)
	}
	return s.lines
}

// drawnNames is more than what a drawn script names before.
const drawnNames = 1000
