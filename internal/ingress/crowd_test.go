package ingress_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
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
	clients      []client
}

// envAll is set to play all scripts instead of the selection.
const envAll = "PULLEYRING_CROWDS"

// readScripts reads the scripts of a file: a line "NAME TARGET", with "short" for those of the selection, begins a
// script, and each indented line adds clients.
func readScripts(t *testing.T, file string) []script {
	raw, err := os.ReadFile(file)
	quicktest.Assert(t, err, quicktest.IsNil)
	var list []script
	for _, line := range strings.Split(string(raw), "\n") {
		switch text := strings.TrimSpace(line); {
		case text == "" || strings.HasPrefix(text, "#"):
		case text == line:
			words := strings.Fields(text)
			list = append(list, script{name: words[0], target: words[1], short: len(words) > 2 && words[2] == "short"})
		default:
			s := &list[len(list)-1]
			c, err := parseClient(s.name, text)
			quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s: %s", s.name, text))
			s.clients = append(s.clients, c)
		}
	}
	return list
}

// smallMachine is the size of most machines of the users.
var smallMachine = machine{memoryMB: 284, files: 4100}

// TestCrowds guards against boxes that end or hang, or no longer serve ordinary clients, beside clients that misbehave.
func TestCrowds(t *testing.T) {
	for _, s := range readScripts(t, "testdata/crowds.txt") {
		if s.short || os.Getenv(envAll) != "" {
			t.Run(s.name, func(t *testing.T) { play(t, &s, smallMachine, 1) })
		}
	}
}

// play plays a crowd beside ordinary traffic and checks what must hold.
func play(t *testing.T, s *script, m machine, seed uint64) {
	st := newSite(t, 2, m)
	ordinary := newTraffic(st)
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

// playCrowd plays the clients of a script for crowdTime and returns a summary of what became of their requests.
func (s *site) playCrowd(sc *script, attacked []*box, seed uint64) string {
	ctx, cancel := context.WithTimeout(s.ctx, crowdTime)
	defer cancel()
	var t tally
	var group sync.WaitGroup
	for k := range sc.clients {
		c := &sc.clients[k]
		for i := range c.count {
			random := rand.New(rand.NewPCG(seed, uint64(k<<32+i)))
			group.Go(func() { c.play(ctx, attacked[i%len(attacked)], random, &t) })
		}
	}
	group.Wait()
	return fmt.Sprintf("%d connections, %d failed, %d requests, %d answers, %d taken", t.connections.Load(), t.failed.Load(), t.requests.Load(), t.answers.Load(), t.taken.Load())
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
		line += fmt.Sprintf(" | %s: peak %d MB, now %d MB, %d of %d checks missed", b.name, b.peak/mebibyte, b.used/mebibyte, missed, len(b.checks))
		b.mu.Unlock()
	}
	s.t.Log(line)
	if file := os.Getenv("PULLEYRING_CROWD_REPORT"); file != "" {
		f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err == nil {
			fmt.Fprintln(f, line)
			_ = f.Close()
		}
	}
}
