package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pulleyring/pulleyring/platform/standin"
)

// client is a kind of client that misbehaves, as a line of testdata/crowds.txt describes it.
type client struct {
	name   string
	count  int           // Connections at the same time.
	door   string        // front or ready.
	method string        // GET, POST or DELETE.
	path   string        // job, urgent (an urgent job), queue, none (no such queue) or ready.
	key    string        // good, guest, bad or none.
	lines  int           // Short header lines.
	header int           // Bytes of one long header line.
	body   int           // Bytes of the body; 0 for none.
	fill   string        // What the body consists of.
	chunk  int           // Size of the chunks; 0 for a body of a declared length.
	expect bool          // The client asks for leave to send the body.
	piece  int           // Bytes per write; 0 for all at once.
	pause  time.Duration // Pause between two writes, and between two reads of a slow reader.
	stop   float64       // Share of the bytes after which the client stands still; 0 for none.
	ahead  int           // Requests that are sent ahead on one connection.
	read   string        // all, slow or none.
	hold   time.Duration // Time for which a client stands still before it reconnects.
	// Each request has an ID of its own; otherwise all of a crowd have the same. For the product's own interface.
	unique bool
	wait   int // Seconds for which a client of the product's own interface waits for an outcome.

	content []byte // The body.
	rest    []byte // The head of its requests after the path.
	begins  string // The head of its requests before the digits of the ID.
}

// parseClient parses the words key=value of a line.
func parseClient(name, line string) (client, error) {
	c := client{name: name, count: 100, door: "front", method: "POST", path: "job", key: "good", fill: "spec", ahead: 1, read: "all", hold: time.Minute, wait: 3}
	for _, word := range strings.Fields(line) {
		key, value, _ := strings.Cut(word, "=")
		var err error
		switch key {
		case "count":
			c.count, err = strconv.Atoi(value)
		case "door":
			c.door = value
		case "method":
			c.method = value
		case "path":
			c.path = value
		case "key":
			c.key = value
		case "lines":
			c.lines, err = strconv.Atoi(value)
		case "header":
			c.header, err = strconv.Atoi(value)
		case "body":
			c.body, err = strconv.Atoi(value)
		case "fill":
			c.fill = value
		case "chunk":
			c.chunk, err = strconv.Atoi(value)
		case "expect":
			c.expect = value == "true"
		case "piece":
			c.piece, err = strconv.Atoi(value)
		case "pause":
			c.pause, err = time.ParseDuration(value)
		case "stop":
			c.stop, err = strconv.ParseFloat(value, 64)
		case "ahead":
			c.ahead, err = strconv.Atoi(value)
		case "read":
			c.read = value
		case "ids":
			c.unique = value == "unique"
		case "wait":
			c.wait, err = strconv.Atoi(value)
		case "hold":
			c.hold, err = time.ParseDuration(value)
		default:
			err = fmt.Errorf("unknown word %q", word)
		}
		if err != nil {
			return c, err
		}
	}
	return c, nil
}

// tally counts what became of the requests of misbehaving clients.
type tally struct {
	connections, failed, requests, answers, taken atomic.Int64
}

// wrongIDs is the prefix of the IDs of jobs whose requests are never sent whole. They must not run.
const wrongIDs = "bad0"

// bodyOf returns a body of size bytes, or slightly more.
func bodyOf(fill string, size int) []byte {
	const step = `{"count":1,"cpu":100,"memMb":10,"estimateMs":100}`
	switch fill {
	case "request": // A valid small request of the product's own interface.
		return []byte(`{"kind":"pull","workspace":"court","payload":{"work_ms":20,"x":"` + strings.Repeat("x", size) + `"}}`)
	case "long_request": // One that runs for longer than any crowd stays.
		return []byte(`{"kind":"pull","workspace":"court","payload":{"work_ms":60000}}`)
	case "request_fields":
		return []byte(`{"kind":"pull","workspace":"court","payload":{"work_ms":20` + strings.Repeat(`,"a":1`, size/6) + `}}`)
	}
	spec := `{"work":50000000,"each":{"MilliCPU":100,"MemoryMB":10}}`
	fitting := func(head, element, tail string) []byte {
		n := max(1, (size-len(head)-len(tail))/len(element))
		return []byte(head + strings.TrimSuffix(strings.Repeat(element, n), ",") + tail)
	}
	switch fill {
	case "spaces": // A valid job beside white space.
		return fitting(fmt.Sprintf(`{"spec":%q,"steps":[%s]`, spec, step), " ", "}")
	case "steps":
		return fitting(`{"steps":[`, "{},", "]}")
	case "numbers":
		return fitting(`{"steps":[{"count":1},{"count":1,"sinceRev":[`, "0,", "]}]}")
	case "lists": // Many steps with long lists.
		return fitting(`{"steps":[`, `{"count":1,"sinceRev":[0,0,0,0,0,0,0,0]},`, "]}")
	case "fields":
		return fitting(fmt.Sprintf(`{"steps":[%s],`, step), `"a":1,`, "}")
	case "nested":
		return []byte(`{"x":` + strings.Repeat("[", size/2) + strings.Repeat("]", size/2) + "}")
	case "payload": // A valid job of which the payload is most.
		return fitting(fmt.Sprintf(`{"steps":[%s],"spec":"{\"work\":50000000,\"each\":{\"MilliCPU\":100,\"MemoryMB\":10}}`, step), " ", `"}`)
	case "tasks": // A valid job of many tasks.
		return fitting(fmt.Sprintf(`{"spec":%q,"steps":[{"count":1200,"cpu":100,"memMb":10,"estimateMs":100}]`, spec), " ", "}")
	case "times": // A valid job that is due many times, for the first time in 2040.
		return fitting(fmt.Sprintf(`{"spec":%q,"repeatCount":1200,"intervalMs":1000,"firstRunMs":2208988800000,"steps":[%s]`, spec, step), " ", "}")
	case "label": // A valid job for a worker that does not exist.
		return fitting(fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100,"requirements":"`, spec), "x", `"}]}`)
	case "zeros":
		return make([]byte, size)
	}
	return fitting(fmt.Sprintf(`{"steps":[%s],"spec":"`, step), "x", `"}`)
}

// writeBuffer bounds what a client that reads no answers can send ahead.
const writeBuffer = 64 << 10

// play plays the client against a box until ctx ends. After the end of a connection it opens another.
func (c *client) play(ctx context.Context, b *box, random *rand.Rand, t *tally) {
	for ctx.Err() == nil {
		address := b.front
		if c.door == "ready" {
			address = b.ready
		}
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
		if err != nil {
			t.failed.Add(1)
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		_ = conn.(*net.TCPConn).SetWriteBuffer(writeBuffer)
		t.connections.Add(1)
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		c.use(ctx, conn, random, t)
		stop()
		_ = conn.Close()
		sleep(ctx, 10*time.Millisecond)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// use sends requests on one connection until it ends.
func (c *client) use(ctx context.Context, conn net.Conn, random *rand.Rand, t *tally) {
	answers := make(chan struct{}, 1<<16)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.readAnswers(ctx, conn, answers, t)
	}()
	for ctx.Err() == nil {
		for range c.ahead {
			t.requests.Add(1)
			if !c.send(ctx, conn, random, ended) {
				_ = conn.Close()
				<-ended
				return
			}
		}
		for range c.ahead {
			if c.read != "all" {
				break
			}
			select {
			case <-answers:
			case <-ended:
				return
			}
		}
	}
	_ = conn.Close()
	<-ended
}

// send sends one request. It reports whether the connection is fit for another.
func (c *client) send(ctx context.Context, conn net.Conn, random *rand.Rand, ended <-chan struct{}) bool {
	head, body := c.head(random), c.content
	total := len(head) + len(body)
	limit := total
	if c.stop > 0 {
		limit = int(c.stop * float64(total))
	}
	if !c.write(ctx, conn, head[:min(limit, len(head))]) {
		return false
	}
	if limit > len(head) && !c.writeBody(ctx, conn, body[:limit-len(head)], limit < total) {
		return false
	}
	if limit == total {
		return true
	}
	select { // It stands still until the box closes the connection or its own patience ends.
	case <-ctx.Done():
	case <-ended:
	case <-time.After(c.hold):
	}
	return false
}

func (c *client) writeBody(ctx context.Context, conn net.Conn, body []byte, open bool) bool {
	if c.chunk == 0 {
		return c.write(ctx, conn, body)
	}
	for len(body) > 0 {
		n := min(c.chunk, len(body))
		if !c.write(ctx, conn, fmt.Appendf(nil, "%x\r\n%s\r\n", n, body[:n])) {
			return false
		}
		body = body[n:]
	}
	return open || c.write(ctx, conn, []byte("0\r\n\r\n"))
}

// write writes bytes in pieces, with a pause after each.
func (c *client) write(ctx context.Context, conn net.Conn, raw []byte) bool {
	for len(raw) > 0 && ctx.Err() == nil {
		n := len(raw)
		if c.piece > 0 {
			n = min(n, c.piece)
		}
		if _, err := conn.Write(raw[:n]); err != nil {
			return false
		}
		raw = raw[n:]
		if c.piece > 0 {
			sleep(ctx, c.pause)
		}
	}
	return ctx.Err() == nil
}

// head returns the head of a request.
func (c *client) head(random *rand.Rand) []byte {
	id := ""
	if c.path == "job" || c.path == "urgent" || c.path == "none" {
		id = fmt.Sprintf("%016x", random.Uint64())
		switch {
		case c.stop > 0:
			id = wrongIDs + id[len(wrongIDs):]
		case strings.HasPrefix(id, wrongIDs): // By chance.
			id = "f" + id[1:]
		}
	}
	return append([]byte(c.begins+id), c.rest...)
}

// Paths of the platform's interface and of the product's own, by the word path of a client. What jobs and what is not
// there are followed by an ID.
var (
	paths    = map[string]string{"job": "/jobs/", "urgent": "/urgent/", "queue": "/jobs/", "none": "/no/such/queue/", "ready": "/api/ready"}
	apiPaths = map[string]string{"job": "/v1/requests", "queue": "/v1/requests/", "none": "/no/such/path/", "crowd": "/v1/requests/crowd", "ready": "/ready", "metrics": "/metrics"}
)

// prepare prepares the body and the parts of the head that are the same in all requests.
func (c *client) prepare(s *site) {
	if c.body > 0 {
		c.content = bodyOf(c.fill, c.body)
	}
	c.begins = c.method + " " + paths[c.path]
	keys := map[string]string{"good": "Token desk-key", "guest": "Token " + standin.GuestKey(1), "bad": "Token no-such-key"}
	var h strings.Builder
	if s.api {
		c.begins = c.method + " " + apiPaths[c.path]
		keys = map[string]string{"good": "Bearer " + s.callerKey, "bad": "Bearer no.such"}
		switch {
		case c.unique:
			c.begins += " HTTP/1.1\r\nIdempotency-Key: "
		case c.path == "job":
			c.begins += "?"
		}
	}
	if !c.unique {
		h.WriteString(" HTTP/1.1")
	}
	h.WriteString("\r\nHost: queue.example\r\nContent-Type: application/json\r\nX-Deadline-Remaining: 3000\r\n")
	if key := keys[c.key]; key != "" {
		fmt.Fprintf(&h, "Authorization: %s\r\n", key)
	}
	if s.api {
		fmt.Fprintf(&h, "Prefer: wait=%d\r\n", c.wait)
		if !c.unique {
			h.WriteString("Idempotency-Key: crowd\r\n")
		}
	}
	for i := range c.lines {
		fmt.Fprintf(&h, "%s:\r\n", strconv.FormatInt(int64(36*36+i), 36))
	}
	if c.header > 0 {
		fmt.Fprintf(&h, "X-Long: %s\r\n", strings.Repeat("x", c.header))
	}
	if c.expect {
		h.WriteString("Expect: 100-continue\r\n")
	}
	switch {
	case c.chunk > 0:
		h.WriteString("Transfer-Encoding: chunked\r\n")
	case len(c.content) > 0:
		fmt.Fprintf(&h, "Content-Length: %d\r\n", len(c.content))
	}
	h.WriteString("\r\n")
	c.rest = []byte(h.String())
}

// readAnswers reads what the box sends until the connection ends, and signals each answer.
func (c *client) readAnswers(ctx context.Context, conn net.Conn, answers chan<- struct{}, t *tally) {
	switch c.read {
	case "none":
		<-ctx.Done()
		return
	case "slow":
		one := make([]byte, 1)
		for ctx.Err() == nil {
			if _, err := conn.Read(one); err != nil {
				return
			}
			sleep(ctx, c.pause)
		}
		return
	}
	in := bufio.NewReaderSize(conn, 512)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		status, _, _ := strings.Cut(strings.TrimPrefix(line, "HTTP/1.1 "), " ")
		length := 0
		for line != "\r\n" {
			if line, err = in.ReadString('\n'); err != nil {
				return
			}
			if text, ok := strings.CutPrefix(line, "Content-Length: "); ok {
				length, _ = strconv.Atoi(strings.TrimSpace(text))
			}
		}
		if _, err := io.CopyN(io.Discard, in, int64(length)); err != nil {
			return
		}
		if status == "100" {
			continue
		}
		t.answers.Add(1)
		if status == "200" {
			t.taken.Add(1)
		}
		answers <- struct{}{}
	}
}
