package daemon

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/standin"
)

// patience bounds every wait of these tests; a sound run needs far less.
const patience = 20 * time.Second

// service names for the tests.
const (
	donateHost   = "donate.example.org"
	receiptsHost = "receipts.example.org"
)

// startNodes starts n nodes that are called after name.
func startNodes(t testing.TB, name string, n int, cfg standin.NodeConfig) (all []*standin.Node) {
	t.Helper()
	for i := range n {
		cfg.Name = fmt.Sprintf("%s-%d", name, i)
		node, err := standin.StartNode(cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		all = append(all, node)
	}
	return all
}

// list is the nodes as a file has them.
func list(nodes []*standin.Node) string {
	var s strings.Builder
	for _, n := range nodes {
		fmt.Fprintf(&s, "%q,", n.Addr())
	}
	return "nodes = [" + s.String() + "]\n"
}

const head = `
[process]
seed = "1f"
memory = "128 MiB"
descriptors = 1032
[listeners.public]
address = "127.0.0.1:0"
`

// poolText and routeText are parts of a file.
func poolText(name, more string) string { return "[pools." + name + "]\n" + more + "\n" }
func routeText(host, pool string) string {
	if host == "" { // any
		return fmt.Sprintf("[[routes]]\npool = %q\n", pool)
	}
	return fmt.Sprintf("[[routes]]\nhost = %q\npool = %q\n", host, pool)
}

func parse(t testing.TB, text ...string) *config.Daemon {
	t.Helper()
	cfg, err := config.ParseDaemon("test.toml", []byte(strings.Join(text, "")))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func start(t testing.TB, text ...string) *Daemon {
	t.Helper()
	d, err := Start(parse(t, text...))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func apply(t testing.TB, d *Daemon, text ...string) []string {
	t.Helper()
	changes, err := d.Apply(parse(t, text...))
	if err != nil {
		t.Fatal(err)
	}
	return changes
}

func (d *Daemon) at(t testing.TB) string {
	t.Helper()
	a := d.Addr("public")
	if a == nil {
		t.Fatal("no listener called public")
	}
	return a.String()
}

// client asks a daemon as a plain HTTP client does.
type client struct {
	http.Client
	addr string
}

func newClient(t testing.TB, addr string) *client {
	tr := &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}
	t.Cleanup(tr.CloseIdleConnections)
	return &client{Client: http.Client{Transport: tr, Timeout: patience, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}, addr: addr}
}

// reply is what a client was answered; status 0 if nothing came.
type reply struct {
	status int
	body   string
	header http.Header
	err    error
}

// ask makes one request; header has pairs of names and values.
func (c *client) ask(method, host, path, body string, header ...string) reply {
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+host+path, in)
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode, body: string(text), header: resp.Header}
}

func (c *client) get(host, path string, header ...string) reply {
	return c.ask(http.MethodGet, host, path, "", header...)
}

// raw writes text on a connection of its own and reads one answer.
func raw(t testing.TB, addr, text string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	all, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(all)
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// openLoop calls do at an even rate for as long as span, whether or not the
// calls before have come back, and waits for all. Each call is given the moment
// that it was due at.
func openLoop(perSecond int, span time.Duration, do func(i int, due time.Time)) {
	var wg sync.WaitGroup
	begin, gap := time.Now(), time.Second/time.Duration(perSecond)
	for i := 0; time.Duration(i)*gap < span; i++ {
		due := begin.Add(time.Duration(i) * gap)
		time.Sleep(time.Until(due))
		wg.Go(func() { do(i, due) })
	}
	wg.Wait()
}

// times collects latencies.
type times struct {
	mu  sync.Mutex
	all []time.Duration
}

func (s *times) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, d)
}

func (s *times) quantile(q float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.all) == 0 {
		return 0
	}
	slices.Sort(s.all)
	return s.all[min(int(q*float64(len(s.all))), len(s.all)-1)]
}

// tally counts runs by a token of the test's own, over all nodes together.
type tally struct {
	mu   sync.Mutex
	runs map[string]int
}

func newTally() *tally { return &tally{runs: map[string]int{}} }

// answer is a NodeConfig.Answer that counts the X-Token of what runs.
func (c *tally) answer(req *http.Request, body []byte) standin.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token := req.Header.Get("X-Token"); token != "" {
		c.runs[token]++
	}
	return standin.Answer{Body: req.Header.Get("X-Token")}
}

// of is how often a token has run.
func (c *tally) of(token string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[token]
}

var lastToken atomic.Int64

func newToken() string { return fmt.Sprintf("t%d", lastToken.Add(1)) }

// slowBody gives n bytes in ten parts, with a pause before each.
type slowBody struct {
	n     int
	pause time.Duration
	given int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.given >= b.n {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	k := min(len(p), max(1, b.n/10), b.n-b.given)
	copy(p, bytes.Repeat([]byte("s"), k))
	b.given += k
	return k, nil
}
