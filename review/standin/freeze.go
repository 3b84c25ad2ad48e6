package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pulleyring/pulleyring/platform/standin"
)

const (
	freezeRounds = 5
	settleTime   = 24 * time.Second // The boxes of a hall learn of each other every 20 s.
	followTime   = 3 * time.Second  // Within this time a box learns the manifest from another one, if it does at all.
	// maxFollowTries is how often the hall is looked at again while all of its boxes read the store.
	maxFollowTries = 6
	freezeTime     = 4 * time.Second
	roundTime      = 12 * time.Second
	freezeGap      = 20 * time.Millisecond // From the end of one freeze to the next one.
	configApply    = 2 * time.Second       // configApplyMs.
	probeMargin    = 20 * time.Millisecond // A request is sent this much later than configApplyMs after the ack.
	probeGap       = 50 * time.Millisecond
	maxProbes      = 40
)

// changesAt are the times in a round at which the operator adds a route.
var changesAt = []time.Duration{4050 * time.Millisecond, 4500 * time.Millisecond, 4950 * time.Millisecond}

// playFreeze freezes two boxes of one hall, one after the other, while the operator adds routes. It then asks a third
// box of that hall, which is never frozen, for the new routes.
func playFreeze(j *journal, trouble bool) (int, error) {
	s, err := newSite(j, []int{3, 3, 2}, 4)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(settleTime)
	asked, others := s.follower(s.boxes[:3], s.boxes[3:6])
	for try := 0; asked == nil && try < maxFollowTries; try++ {
		asked, others = s.follower(s.boxes[:3], s.boxes[3:6])
	}
	if asked == nil {
		return exitNotRun, errors.New("no box learns the manifest from the others of its hall")
	}
	j.print("boxes of the hall: %s is asked, %s and %s are frozen in turn", asked.name, others[0].name, others[1].name)
	o := &operator{site: s, version: 1}
	broken, probed := 0, 0
	for round := range freezeRounds {
		began := time.Now()
		pair := others
		if round%4 >= 2 {
			pair = []*box{others[1], others[0]}
		}
		var group sync.WaitGroup
		if trouble {
			group.Go(func() { s.freezeInTurn(pair) })
		}
		late := make([]bool, len(changesAt))
		for i, at := range changesAt {
			group.Go(func() {
				time.Sleep(time.Until(began.Add(at)))
				late[i] = o.addRouteAndProbe(asked)
			})
		}
		group.Wait()
		for _, wrong := range late {
			probed++
			if wrong {
				broken++
			}
		}
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	j.print("%d of %d new routes were refused by %s more than configApplyMs after the ack", broken, probed, asked.name)
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// freezeInTurn stops the processes of boxes for a while, one after the other.
func (s *site) freezeInTurn(boxes []*box) {
	for _, b := range boxes {
		s.journal.print("%s freezes", b.name)
		_ = b.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		_ = b.process.Process.Signal(syscall.SIGCONT)
		s.journal.print("%s wakes", b.name)
		time.Sleep(freezeGap)
	}
}

var copiedMetric = regexp.MustCompile(`follower_copied\s+count:\s+(\d+)`)

// copied returns how often a box has learned rows from other boxes, by its metrics.
func (b *box) copied() int {
	resp, err := http.Get("http://" + b.ip + ":7000/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	n := 0
	if m := copiedMetric.FindSubmatch(raw); m != nil {
		n, _ = strconv.Atoi(string(m[1]))
	}
	return n
}

// follower returns a box that learns the manifest from the others of its hall now, and these others. asked is nil if there
// is none. The box that schedules reads the store itself, so one of two halls may have none.
func (s *site) follower(halls ...[]*box) (asked *box, others []*box) {
	before := map[*box]int{}
	for _, hall := range halls {
		for _, b := range hall {
			before[b] = b.copied()
		}
	}
	time.Sleep(followTime)
	for _, hall := range halls {
		for i, b := range hall {
			if b.copied() > before[b] {
				return b, append(append([]*box{}, hall[:i]...), hall[i+1:]...)
			}
		}
	}
	return nil, nil
}

// operator writes manifests. Each version adds a route; no route is ever removed.
type operator struct {
	site    *site
	mu      sync.Mutex
	version int
}

func routePrefix(version int) string { return fmt.Sprintf("/r%d/", version) }

// addRoute writes the next version and returns it with the time of the store's ack.
func (o *operator) addRoute() (version int, acked time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	route := func(name, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"host":"queue.example","pathPrefix":%q,"service":%q,"timeoutMs":3000,"priority":1,"attempts":3,"stretch":3,"objectiveMs":1000}`, name, prefix, standin.Service)
	}
	routes := route("jobs", "/jobs/")
	for v := 2; v <= o.version; v++ {
		routes += "," + route(fmt.Sprintf("r%d", v), routePrefix(v))
	}
	manifest := fmt.Sprintf(`{"configVersion":%d,"limits":{"maxBodyBytes":65536},"routes":[%s],"services":[{"name":%q,"admissionCheck":true}],"tenants":[{"name":"desk","apiKeys":["desk-key"],"guaranteed":{"gpu":0}}]}`,
		o.version, routes, standin.Service)
	body, err := json.Marshal(map[string]any{"writes": []map[string]string{{"table": "op", "part": "", "key": "config", "value": base64.StdEncoding.EncodeToString([]byte(manifest))}}})
	if err != nil {
		return 0, time.Time{}, err
	}
	resp, err := http.Post("http://"+o.site.address+"/api/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, time.Time{}, err
	}
	_ = resp.Body.Close()
	return o.version, time.Now(), nil
}

// addRouteAndProbe adds a route and asks a box for it, from configApplyMs after the ack on. It reports whether the box
// refused a request that was sent later than that.
func (o *operator) addRouteAndProbe(b *box) bool {
	s := o.site
	version, acked, err := o.addRoute()
	if err != nil {
		s.journal.print("operator: version could not be written: %v", err)
		return false
	}
	s.journal.print("operator: version %d with route %s is acked", version, routePrefix(version))
	time.Sleep(time.Until(acked.Add(configApply + probeMargin)))
	refused := 0
	for range maxProbes {
		sent := time.Now()
		status, _ := s.call(b, http.MethodGet, routePrefix(version), "desk-key", nil, 3*time.Second)
		if status != http.StatusNotFound {
			s.journal.print("client: GET %s at %s, sent %d ms after the ack: %s", routePrefix(version), b.name, sent.Sub(acked).Milliseconds(), statusText(status))
			break
		}
		refused++
		s.journal.print("CONFIG: GET %s at %s, sent %d ms after the ack: %d", routePrefix(version), b.name, sent.Sub(acked).Milliseconds(), status)
		time.Sleep(probeGap)
	}
	return refused > 0
}
