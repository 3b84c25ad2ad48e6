package ingress_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/cli"
	"github.com/pulleyring/pulleyring/internal/standin"
	"github.com/pulleyring/pulleyring/pkg/caller"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// TestAPICrowds guards against the same as TestCrowds at the product's own interface.
func TestAPICrowds(t *testing.T) {
	for _, s := range readScripts(t, "testdata/api_crowds.txt") {
		if s.isPlayed() {
			t.Run(s.name, func(t *testing.T) { play(newAPISite(t, 2, smallMachine), &s, 1) })
		}
	}
}

const apiSite = `[site]
name = small
[hall.north]
region = one
[rack.n1]
hall = north
address = http://%[1]s
workers = 4
cpus = 16
memory_gb = 64
accelerators = 4
[upstreams.exec]
hall = north
address = http://%[1]s
count = 4
[workspace.court]
guarantee_blocks = 1
block_accelerators = 8
[caller.clerk]
workspaces = court
key_hash = @keys/clerk.hash
[operator.chief]
key_hash = @keys/chief.hash
`

const apiBox = `[box]
name = %[1]s
hall = north
listen = %[2]s
link_listen = %[3]s
[platform]
table = http://%[4]s
objects = http://%[4]s
live_list = http://%[4]s
[keys]
link_certificate = keys/%[1]s.crt
link_key = keys/%[1]s.pem
link_authority = keys/authority.crt
[limits]
memory_mb = %[5]d
descriptors = %[6]d
[operator.chief]
key_hash = @keys/chief.hash
`

// newAPISite starts a site of boxes with the product's own interface.
func newAPISite(t *testing.T, boxes int, m machine) *site {
	s := emptySite(t)
	s.api = true
	s.holder = "none" // Each hall has its own.
	s.address = s.serve(standin.NewPlatform(1, 400, 2000, 0).Handler())
	quicktest.Assert(t, os.WriteFile(filepath.Join(s.dir, "site.ini"), fmt.Appendf(nil, apiSite, s.address), 0o600), quicktest.IsNil)
	s.addBoxes(boxes, m, func(b *box) []byte {
		// The certificates are for 127.0.0.1.
		link := &box{ip: "127.0.0.1"}
		return fmt.Appendf(nil, apiBox, b.name, b.front, link.freeAddress(t), s.address, m.memoryMB, m.files)
	})
	names := []string{}
	for _, b := range s.boxes {
		b.ready = b.front
		names = append(names, b.name)
	}
	site, keys := filepath.Join(s.dir, "site.ini"), filepath.Join(s.dir, "keys")
	quicktest.Assert(t, cli.Run([]string{"keys", "-site", site, "-dir", keys, "-boxes", strings.Join(names, ",")}, os.Stderr, os.Stderr), quicktest.Equals, 0)
	raw, err := os.ReadFile(filepath.Join(keys, "clerk.key"))
	quicktest.Assert(t, err, quicktest.IsNil)
	s.callerKey = strings.TrimSpace(string(raw))
	for _, b := range s.boxes {
		s.start(b)
	}
	s.await(func() bool {
		return cli.Run([]string{"apply", "-box", "http://" + s.boxes[0].front, "-key", filepath.Join(keys, "chief.key"), site}, os.Stderr, os.Stderr) == 0
	})
	s.run()
	return s
}

// submitAPI submits a small request, whose answer is its outcome. It returns the status, 0 if there is no answer.
func (s *site) submitAPI(client *http.Client, b *box, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
	defer cancel()
	body, err := json.Marshal(request.Submission{Kind: "pull", Workspace: "court", Payload: json.RawMessage(`{"work_ms":20,"x":"` + strings.Repeat("x", specBytes) + `"}`)})
	quicktest.Check(s.t, err, quicktest.IsNil)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.front+"/v1/requests", strings.NewReader(string(body)))
	quicktest.Check(s.t, err, quicktest.IsNil)
	req.Header.Set("Authorization", "Bearer "+s.callerKey)
	req.Header.Set("Idempotency-Key", id)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var reply request.Reply
	if resp.StatusCode == http.StatusOK && (json.NewDecoder(resp.Body).Decode(&reply) != nil || reply.Outcome != request.Done) {
		return http.StatusAccepted
	}
	return resp.StatusCode
}

// completedAPI reports whether a request is done.
func (s *site) completedAPI(b *box, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	reply, err := (&caller.Client{Boxes: []string{"http://" + b.front}, Key: s.callerKey, HTTP: newClient(3 * time.Second)}).Ask(ctx, id, 0)
	return err == nil && reply.Outcome == request.Done
}
