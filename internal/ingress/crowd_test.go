package ingress_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const (
	calmTime  = 2 * time.Second
	crowdTime = 6 * time.Second
	afterTime = 2 * time.Second
	// maxMissedChecks is the number of consecutive missed readiness checks after which the load balancer takes a box out.
	maxMissedChecks = 2
)

// script is a crowd of clients.
type script struct {
	name, target string
	short        bool // It is part of the selection that is always played.
	urgent       bool // Half of the ordinary jobs are urgent.
	clients      []client

	// Times at which an attacked box is killed and started again at once, at which all attacked ones are told to end and
	// started again once they have, and at which the store falls silent for outageTime; 0 for never.
	kill, end, outage time.Duration

	share float64 // Share of a core that the boxes get; 0 for a whole one.
	time  time.Duration
}

// outageTime is the length of an outage of the store. Callers wait for 3 s.
const outageTime = 1500 * time.Millisecond

// envCrowds is "all" to play all scripts instead of the selection, and "none" to play none beside other tests.
const envCrowds = "PULLEYRING_CROWDS"

// isPlayed reports whether a script is part of what is played.
func (s *script) isPlayed() bool {
	return os.Getenv(envCrowds) == "all" || s.short && os.Getenv(envCrowds) != "none"
}

// readScripts reads the scripts of a file: a line "NAME TARGET", with "short" for those of the selection and times of
// other events, begins a script, and each indented line adds clients.
func readScripts(t *testing.T, file string) []script {
	raw, err := os.ReadFile(file)
	quicktest.Assert(t, err, quicktest.IsNil)
	var list []script
	for _, line := range strings.Split(string(raw), "\n") {
		switch text := strings.TrimSpace(line); {
		case text == "" || strings.HasPrefix(text, "#"):
		case text == line:
			words := strings.Fields(text)
			s := script{name: words[0], target: words[1], time: crowdTime}
			for _, word := range words[2:] {
				quicktest.Assert(t, s.parseOption(word), quicktest.IsNil, quicktest.Commentf("%s", text))
			}
			list = append(list, s)
		default:
			s := &list[len(list)-1]
			c, err := parseClient(s.name, text)
			quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s: %s", s.name, text))
			s.clients = append(s.clients, c)
		}
	}
	return list
}

// parseOption parses a word of a script's first line.
func (s *script) parseOption(word string) (err error) {
	key, value, _ := strings.Cut(word, "=")
	switch key {
	case "short":
		s.short = true
	case "urgent":
		s.urgent = true
	case "share":
		s.share, err = strconv.ParseFloat(value, 64)
	case "for":
		s.time, err = time.ParseDuration(value)
	case "kill":
		s.kill, err = time.ParseDuration(value)
	case "end":
		s.end, err = time.ParseDuration(value)
	case "outage":
		s.outage, err = time.ParseDuration(value)
	default:
		err = fmt.Errorf("unknown word %q", word)
	}
	return err
}

// smallMachine is the size of most machines of the users.
var smallMachine = machine{memoryMB: 284, files: 4100}

// envShare holds the share of a core on which all scripts of TestCrowds are played that name none.
const envShare = "PULLEYRING_CROWD_SHARE"

// TestCrowds guards against boxes that end or hang, or no longer serve ordinary clients, beside clients that misbehave.
func TestCrowds(t *testing.T) {
	for _, s := range readScripts(t, "testdata/crowds.txt") {
		if text := os.Getenv(envShare); text != "" && s.share == 0 {
			quicktest.Assert(t, s.parseOption("share="+text), quicktest.IsNil)
		}
		if s.isPlayed() {
			m := smallMachine
			m.share = s.share
			t.Run(s.name, func(t *testing.T) { play(newSite(t, 2, m), &s, 1) })
		}
	}
}

// play plays a crowd beside ordinary traffic and checks what must hold.
func play(st *site, s *script, seed uint64) {
	ordinary := newTraffic(st)
	ordinary.urgent = s.urgent
	ctx, cancel := context.WithCancel(st.ctx)
	var group sync.WaitGroup
	group.Go(func() { ordinary.run(ctx) })
	sleep(ctx, calmTime)
	attacked := st.attacked(s.target)
	ordinary.setPhase("crowd")
	counts := st.playCrowd(s, attacked, seed)
	ordinary.setPhase("after")
	sleep(ctx, afterTime)
	cancel()
	group.Wait()
	ordinary.settle()
	st.check(ordinary)
	isAttacked := func(n int) bool {
		for _, b := range attacked {
			if st.boxes[n] == b {
				return true
			}
		}
		return false
	}
	isOther := func(n int) bool { return !isAttacked(n) }
	all := func(int) bool { return true }
	calm, crowd, other, after := ordinary.figures("calm", all), ordinary.figures("crowd", isAttacked), ordinary.figures("crowd", isOther), ordinary.figures("after", all)
	st.report("%s | calm: %s | attacked: %s | other: %s | after: %s | crowd: %s", s.name, &calm, &crowd, &other, &after, counts)
}

// playCrowd plays the clients of a script for its time and returns a summary of what became of their requests.
func (s *site) playCrowd(sc *script, attacked []*box, seed uint64) string {
	ctx, cancel := context.WithTimeout(s.ctx, sc.time)
	defer cancel()
	var t tally
	var group sync.WaitGroup
	s.playEvents(ctx, sc, attacked, &group)
	for k := range sc.clients {
		c := &sc.clients[k]
		c.prepare(s)
		for i := range c.count {
			random := rand.New(rand.NewPCG(seed, uint64(k<<32+i)))
			group.Go(func() { c.play(ctx, attacked[i%len(attacked)], random, &t) })
		}
	}
	group.Wait()
	return fmt.Sprintf("%d connections, %d failed, %d requests, %d answers, %d taken", t.connections.Load(), t.failed.Load(), t.requests.Load(), t.answers.Load(), t.taken.Load())
}

// playEvents carries out the events of a script at their times.
func (s *site) playEvents(ctx context.Context, sc *script, attacked []*box, group *sync.WaitGroup) {
	at := func(d time.Duration, f func()) {
		if d > 0 {
			group.Go(func() {
				sleep(ctx, d)
				f()
			})
		}
	}
	at(sc.kill, func() {
		attacked[0].stop(syscall.SIGKILL)
		s.start(attacked[0])
	})
	for _, b := range attacked {
		at(sc.end, func() {
			b.stop(syscall.SIGTERM)
			s.start(b)
		})
	}
	at(sc.outage, func() {
		s.outage.Store(true)
		_ = s.store.InjectFault("silent", "") // Fails only for unknown faults.
		time.Sleep(outageTime)
		_ = s.store.InjectFault("up", "")
	})
}

// check checks what must hold beside any crowd.
func (s *site) check(ordinary *traffic) {
	t := s.t
	for _, b := range s.boxes {
		b.mu.Lock()
		for _, fault := range b.faults {
			t.Error(fault)
		}
		missed := 0
		for i, ok := range b.checks {
			if b.starts > 1 { // It was not ready for a while, as it should be.
				break
			}
			missed++
			if ok {
				missed = 0
			}
			if missed >= maxMissedChecks {
				t.Errorf("%s: the load balancer's check %d of %d is missed, and the one before", b.name, i+1, len(b.checks))
				break
			}
		}
		b.mu.Unlock()
	}
	ordinary.mu.Lock()
	defer ordinary.mu.Unlock()
	notAccepted, notCompleted := 0, 0
	for _, j := range ordinary.jobs {
		if !j.accepted {
			notAccepted++
		} else if !j.completed {
			notCompleted++
		}
	}
	if notAccepted > 0 {
		t.Errorf("%d of %d ordinary jobs were not taken in %d tries", notAccepted, len(ordinary.jobs), maxTries)
	}
	if notCompleted > 0 {
		t.Errorf("%d accepted jobs have not completed", notCompleted)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	late, longest := 0, time.Duration(0)
	for _, j := range ordinary.jobs {
		if started, ok := s.started[j.id]; ok && j.accepted {
			longest = max(longest, started.Sub(j.taken))
			if started.Sub(j.taken) > jobLimit {
				late++
			}
		}
	}
	if late > 0 {
		t.Errorf("%d accepted jobs stood still for more than %v, one for %v", late, jobLimit, longest)
	}
	for id := range s.started {
		if strings.HasPrefix(string(id), wrongIDs) {
			t.Errorf("job %s runs, although its request was never sent whole", id)
		}
	}
}

// report prints a line of figures.
func (s *site) report(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	for _, b := range s.boxes {
		b.mu.Lock()
		missed := 0
		for _, ok := range b.checks {
			if !ok {
				missed++
			}
		}
		line += fmt.Sprintf(" | %s: peak %d MB, now %d MB, %d of %d checks missed, %d not counted, slowest %v", b.name, b.peak/mebibyte, b.used/mebibyte, missed, len(b.checks), b.unchecked, b.slowest.Round(time.Millisecond))
		b.mu.Unlock()
	}
	s.t.Log(line)
	if file := os.Getenv(envReport); file != "" {
		f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err == nil {
			fmt.Fprintln(f, line)
			_ = f.Close()
		}
	}
}
