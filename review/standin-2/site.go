package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the small deployment.
const (
	serviceName = "dele69a"
	hostName    = "nony24.example"
	urgentRoute = "/pufi791/" // Priority 0.
	normalRoute = "/lohu930/" // Priority 1.
	bulkRoute   = "/pule252/" // Priority 2.
)

// record writes what was sent, answered and run, one line each.
type record struct {
	mu  sync.Mutex
	out io.Writer
}

func (c *record) write(who, what string, pairs ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s: %s", time.Now().UTC().Format("15:04:05.000"), who, what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&text, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(c.out, text.String())
}

// addExecutors starts n executors like those of scrc-cdr, eight a rack, named by their number.
func (s *site) addExecutors(n int, name func(i int) string) error {
	for i := range n {
		if _, err := s.cluster.add(name(i), zones[i%len(zones)], fmt.Sprintf("r%d-%d", i%len(zones), i/(8*len(zones))), 64000, 262144, 8); err != nil {
			return err
		}
	}
	return nil
}

// shortName returns a name like that of the examples.
func shortName(i int) string { return fmt.Sprintf("i-%08x", 0x7f3a9100+i) }

// open starts n executors with short names, writes the manifest with these tenants and starts three boxes.
func (s *site) open(n int, tenants ...tenant) error {
	if err := s.addExecutors(n, shortName); err != nil {
		return err
	}
	s.tenants = tenants
	if err := s.configure(); err != nil {
		return err
	}
	return s.startBoxes(3)
}

// submit submits a job at a box and returns an error unless it is accepted.
func (s *site) submit(b *box, path, key string, j *job) error {
	if a := s.call(b, http.MethodPost, path, key, j); a.status != http.StatusOK {
		return fmt.Errorf("%s was answered with %d: %s", path, a.status, a.body)
	}
	return nil
}

// stateOf asks a box for the state of a job.
func (s *site) stateOf(b *box, path, key string) answer {
	return s.call(b, http.MethodGet, path, key, nil)
}

// tenant is a tenant of the manifest.
type tenant struct {
	name, key  string
	guaranteed int64
}

// box is a process of the project.
type box struct {
	name, front, ready string
	process            *exec.Cmd
}

// site is a small deployment: the platform's stand-ins and the project's processes.
type site struct {
	program string
	dir     string
	record  *record
	store   *store
	cluster *cluster
	boxes   []*box
	address string // Of the store.
	tenants []tenant
	version int
}

func newSite(program, dir string, rec *record) (*site, error) {
	s := &site{program: program, dir: dir, record: rec}
	s.store = newStore(rec)
	s.cluster = newCluster(rec, s.store)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s.store.handler()) }() // It runs until the process ends.
	return s, nil
}

// configure writes the next version of the manifest.
func (s *site) configure() error {
	s.version++
	route := func(name, prefix string, priority int, objective int, stretch float64) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "objectiveMs": objective,
			"priority": priority, "service": serviceName, "attempts": 4, "stretch": stretch, "allowAnonymous": false,
		}
	}
	tenants := []map[string]any{}
	for _, t := range s.tenants {
		tenants = append(tenants, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "priority": 1, "guaranteed": map[string]int64{"gpu": t.guaranteed}})
	}
	raw, err := json.Marshal(map[string]any{
		"configVersion": 6 + s.version,
		"routes":        []any{route("r-bulk", bulkRoute, 2, 3000, 3), route("r-normal", normalRoute, 1, 1000, 3), route("r-urgent", urgentRoute, 0, 250, 1.5)},
		"services":      []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": true, "headroom": false}},
		"limits":        map[string]int{"headerBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":       tenants,
	})
	if err != nil {
		return err
	}
	s.store.put(operatorTable, "config", raw)
	s.record.write("operator", "manifest acknowledged", "version", 6+s.version)
	return nil
}

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// settings returns a settings file like that of DEPLOY, with the bounds of scrc-cdr.
const settings = `node=%[1]s
role=box
class=edge
serves=edge
ip=%[2]s
zone=%[3]s
region=guj-west
zones.ahd-hall-a=guj-west
zones.gnr-hall-b=guj-west
zones.vad-hall-c=guj-west
listen.front=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
portRange=%[6]d,%[6]d
bootstrap=true
toleranceMember=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.recoveryS=12
bounds.maxHoldMs=10000
bounds.stopMs=900
bounds.gangWaitMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.farFactor=3
bounds.checkpointS=1
bounds.restoreMs=250
bounds.noticeMs=4500
bounds.leaseMs=3000
bounds.reclaimMs=3400
orders=invocation
platform.address=%[7]s
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txnMs=5.0
platform.partitionWritesS=200
platform.rowBytes=65536
platform.across=false
platform.retentionS=20
`

var zones = []string{"ahd-hall-a", "gnr-hall-b", "vad-hall-c"}

// startBoxes starts processes as the deploy file says, and waits until all are ready.
func (s *site) startBoxes(n int) error {
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		var ports [3]int
		for k := range ports {
			port, err := freePort(ip)
			if err != nil {
				return err
			}
			ports[k] = port
		}
		zone := zones[i%len(zones)]
		b := &box{name: fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)), front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
		file := filepath.Join(s.dir, b.name+".conf")
		if err := os.WriteFile(file, fmt.Appendf(nil, settings, b.name, ip, zone, ports[0], ports[1], ports[2], s.address), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(s.dir, b.name+".log"))
		if err != nil {
			return err
		}
		b.process = exec.Command(s.program, "box") // As the deploy file says: target/pulleyring box.
		b.process.Env = []string{"PULLEYRING_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
		b.process.Stdout, b.process.Stderr = log, log
		b.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := b.process.Start(); err != nil {
			return err
		}
		s.boxes = append(s.boxes, b)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, b := range s.boxes {
		for !b.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after 20 s", b.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // One of them claims the lease and looks at the executors.
	return nil
}

func (b *box) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + b.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes of the project that were started.
func (s *site) stop() {
	for _, b := range s.boxes {
		_ = b.process.Process.Kill() // It may have ended.
		_ = b.process.Wait()
	}
}

// ended returns the names of boxes that ended by themselves.
func (s *site) ended() []string {
	var names []string
	for _, b := range s.boxes {
		if syscall.Kill(b.process.Process.Pid, 0) != nil || isZombie(b.process.Process.Pid) {
			names = append(names, b.name)
		}
	}
	return names
}

func isZombie(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	return strings.HasPrefix(rest, "Z")
}

// answer is the answer to a client's call; status 0 if there was none.
type answer struct {
	status int
	body   string
	state  string
}

// call makes a client's call at a box and records it.
func (s *site) call(b *box, method, path, key string, body any) answer {
	a := s.quietCall(b, method, path, key, body)
	s.record.write("client", method, "path", path, "box", b.name, "status", a.status, "state", a.state)
	return a
}

func (s *site) quietCall(b *box, method, path, key string, body any) answer {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return answer{}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.front+path, bytes.NewReader(raw))
	if err != nil {
		return answer{}
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Remaining", "3000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &reply) // Some answers have no body.
	return answer{resp.StatusCode, string(text), reply.State}
}

// step is a step of a job.
type step struct {
	Count         int   `json:"count"`
	CPU           int64 `json:"cpu,omitempty"`
	MemMb         int64 `json:"memMb,omitempty"`
	GPU           int64 `json:"gpu,omitempty"`
	EstimateMs    int64 `json:"estimateMs,omitempty"`
	SinceRev      []int `json:"sinceRev,omitempty"`
	Gang          bool  `json:"gang,omitempty"`
	RackLocal     bool  `json:"rackLocal,omitempty"`
	AntiAffinity  int   `json:"antiAffinity,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	Persistent    bool  `json:"persistent,omitempty"`
}

// job is the body with which a client submits a job.
type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	FirstRunMs  int64  `json:"firstRunMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
	RepeatCount int    `json:"repeatCount,omitempty"`
}

// spec returns the text of a spec.
func spec(w work) string {
	raw, err := json.Marshal(w)
	if err != nil {
		return ""
	}
	return string(raw)
}
