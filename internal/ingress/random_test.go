package ingress_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// envSeeds holds the first and the last seed of TestRandomCrowds, as in 1-50.
const envSeeds = "PULLEYRING_CROWD_SEEDS"

// machines are the sizes of machines on the users' deployments.
var machines = []machine{{160, 4100, 0}, {184, 4100, 0}, {184, 4100, 0.4}, {284, 4100, 0}, {284, 4100, 0.4}, {536, 8192, 0}, {1048, 16384, 0}}

// TestRandomCrowds draws machines, mixed crowds of any size and speed, and failures beside them. It guards against limits
// that hold for one size of a crowd only.
func TestRandomCrowds(t *testing.T) { playSeeds(t, 2, drawScript) }

// TestRandomFloods draws machines, crowds of one to three kinds that hand in or cancel valid jobs for up to 30 s, and
// failures beside them. Its crowds belong to another workspace than the ordinary clients.
func TestRandomFloods(t *testing.T) { playSeeds(t, 2, drawFlood) }

// playSeeds plays the scripts of the seeds that the environment names, or of the first few.
func playSeeds(t *testing.T, count uint64, draw func(r *rand.Rand) *script) {
	first, last := uint64(1), count
	if os.Getenv(envCrowds) == "none" {
		last = 0
	}
	if text := os.Getenv(envSeeds); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			m := machines[random.IntN(len(machines))]
			s := draw(random)
			s.name = fmt.Sprintf("seed_%d", seed)
			t.Logf("%+v: %+v", m, s)
			play(newSite(t, 2, m), s, seed)
		})
	}
}

// drawFlood draws one to three kinds of clients that hand in or cancel valid jobs and, for two scripts in three, an event.
func drawFlood(r *rand.Rand) *script {
	s := &script{target: pick(r, "scheduling", "other", "all"), time: 10*time.Second + time.Duration(r.IntN(20))*time.Second}
	for range 1 + r.IntN(3) {
		c := client{
			count: 1 + int(math.Pow(600, r.Float64())), door: "front", method: pick(r, "POST", "POST", "POST", "DELETE"), path: "job",
			key: "guest", ahead: pickNumber(r, 1, 1, 10), read: "all", hold: time.Second,
		}
		if c.method == "POST" {
			c.fill = pick(r, "payload", "payload", "tasks", "times", "label")
			c.body = 300 + int(math.Pow(3700, r.Float64()))
			if c.fill == "label" {
				c.body = 1 + int(math.Pow(46000, r.Float64()))
			}
		}
		s.clients = append(s.clients, c)
	}
	at := time.Second + time.Duration(r.Float64()*float64(s.time-2*time.Second))
	switch r.IntN(6) {
	case 0, 1:
		s.kill = at
	case 2:
		s.end = at
	case 3:
		s.outage = at
	}
	return s
}

func pickNumber(r *rand.Rand, numbers ...int) int { return numbers[r.IntN(len(numbers))] }

// drawScript draws one to four kinds of clients and, for one script in three each, an event.
func drawScript(r *rand.Rand) *script {
	s := &script{target: pick(r, "scheduling", "other", "all"), time: crowdTime}
	for range 1 + r.IntN(4) {
		s.clients = append(s.clients, drawClient(r))
	}
	at := time.Second + time.Duration(r.IntN(3000))*time.Millisecond
	switch r.IntN(9) {
	case 0:
		s.kill = at
	case 1:
		s.end = at
	case 2:
		s.outage = at
	}
	return s
}

func pick(r *rand.Rand, words ...string) string { return words[r.IntN(len(words))] }

// drawClient draws a kind of client.
func drawClient(r *rand.Rand) client {
	// Sizes are drawn evenly by their number of digits.
	upTo := func(most float64) int { return 1 + int(math.Pow(most, r.Float64())) }
	c := client{
		count: upTo(1200), door: "front", method: pick(r, "POST", "GET", "DELETE"), path: pick(r, "job", "job", "queue", "none"),
		key: pick(r, "good", "good", "guest", "bad", "none"), fill: pick(r, "spec", "spaces", "steps", "numbers", "lists", "fields", "nested", "zeros"),
		ahead: 1, read: "all", hold: time.Duration(upTo(10000)) * time.Millisecond,
	}
	if r.IntN(5) == 0 {
		c.door, c.path = "ready", "ready"
	}
	if r.IntN(3) == 0 {
		c.lines = upTo(20000)
	}
	if r.IntN(4) == 0 {
		c.header = upTo(500000)
	}
	if c.method == "POST" || r.IntN(4) == 0 {
		c.body = upTo(300000)
		if r.IntN(6) == 0 {
			c.body, c.fill = upTo(2e7), "zeros"
		}
		if r.IntN(3) == 0 {
			c.chunk = upTo(70000)
		}
		c.expect = r.IntN(5) == 0
	}
	if r.IntN(2) == 0 {
		c.piece, c.pause = upTo(20000), time.Duration(upTo(300))*time.Millisecond
	}
	if r.IntN(2) == 0 {
		c.stop = r.Float64()
	}
	if r.IntN(4) == 0 {
		c.ahead, c.read, c.pause = upTo(1000), pick(r, "none", "slow", "all"), time.Duration(upTo(100))*time.Millisecond
	}
	return c
}
