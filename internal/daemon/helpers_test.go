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
	"gorselink/internal/fakeserver"
)

// testTimeout bounds each wait in these tests.
const testTimeout = 20 * time.Second

// Hosts of the services in these tests.
const (
	donateHost   = "donate.example.org"
	receiptsHost = "receipts.example.org"
)

// startNodes starts n nodes named name-0, name-1 and so on.
func startNodes(t testing.TB, name string, n int, cfg fakeserver.NodeConfig) (all []*fakeserver.Node) {
	t.Helper()
	for i := range n {
		cfg.Name = fmt.Sprintf("%s-%d", name, i)
		node, err := fakeserver.StartNode(cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		all = append(all, node)
	}
	return all
}

// nodeList returns the nodes as a key of a configuration file.
func nodeList(nodes []*fakeserver.Node) string {
	var s strings.Builder
	for _, n := range nodes {
		fmt.Fprintf(&s, "%q,", n.Addr())
	}
	return "nodes = [" + s.String() + "]\n"
}

const baseConfig = `
[process]
seed = "1f"
memory = "128 MiB"
descriptors = 1032
[listeners.public]
address = "127.0.0.1:0"
`

// poolText and routeText return parts of a configuration file.
func poolText(name, more string) string { return "[pools." + name + "]\n" + more + "\n" }
func routeText(host, pool string) string {
	if host == "" { // any
		return fmt.Sprintf("[[routes]]\npool = %q\n", pool)
	}
	return fmt.Sprintf("[[routes]]\nhost = %q\npool = %q\n", host, pool)
}

func parseConfig(t testing.TB, text ...string) *config.Daemon {
	t.Helper()
	cfg, err := config.ParseDaemon("test.toml", []byte(strings.Join(text, "")))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func startDaemon(t testing.TB, text ...string) *Daemon {
	t.Helper()
	d, err := Start(parseConfig(t, text...))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func applyConfig(t testing.TB, d *Daemon, text ...string) []string {
	t.Helper()
	changes, err := d.Apply(parseConfig(t, text...))
	if err != nil {
		t.Fatal(err)
	}
	return changes
}

func (d *Daemon) publicAddr(t testing.TB) string {
	t.Helper()
	a := d.Addr("public")
	if a == nil {
		t.Fatal("no listener called public")
	}
	return a.String()
}

// client is an ordinary HTTP client of a daemon.
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
	return &client{Client: http.Client{Transport: tr, Timeout: testTimeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}, addr: addr}
}

// response is the response to a client; its status is 0 if there was none.
type response struct {
	status int
	body   string
	header http.Header
	err    error
}

// send sends one request; header consists of pairs of names and values.
func (c *client) send(method, host, path, body string, header ...string) response {
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+host+path, in)
	if err != nil {
		return response{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{err: err}
	}
	return response{status: resp.StatusCode, body: string(text), header: resp.Header}
}

func (c *client) get(host, path string, header ...string) response {
	return c.send(http.MethodGet, host, path, "", header...)
}

// sendRaw writes text on a new connection and reads one response.
func sendRaw(t testing.TB, addr, text string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
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
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// openLoop calls do at a constant rate for the given duration, regardless of whether earlier
// calls have returned, and waits for all calls. Each call receives the time at which it was due.
func openLoop(perSecond int, span time.Duration, do func(i int, due time.Time)) {
	var wg sync.WaitGroup
	started, interval := time.Now(), time.Second/time.Duration(perSecond)
	for i := 0; time.Duration(i)*interval < span; i++ {
		due := started.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() { do(i, due) })
	}
	wg.Wait()
}

// latencies collects latencies for quantiles.
type latencies struct {
	mu  sync.Mutex
	all []time.Duration
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, d)
}

func (l *latencies) quantile(q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.all) == 0 {
		return 0
	}
	slices.Sort(l.all)
	return l.all[min(int(q*float64(len(l.all))), len(l.all)-1)]
}

// runCounter counts the runs of requests by their X-Token, over all nodes.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounter() *runCounter { return &runCounter{runs: map[string]int{}} }

// respond is a NodeConfig.Respond that counts a run and returns the token.
func (c *runCounter) respond(req *http.Request, body []byte) fakeserver.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token := req.Header.Get("X-Token"); token != "" {
		c.runs[token]++
	}
	return fakeserver.Response{Body: req.Header.Get("X-Token")}
}

// count returns the number of runs with a token.
func (c *runCounter) count(token string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[token]
}

var lastToken atomic.Int64

func newToken() string { return fmt.Sprintf("t%d", lastToken.Add(1)) }

// slowBody is a request body that is read in ten parts with a delay before each.
type slowBody struct {
	size  int
	delay time.Duration
	sent  int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.sent >= b.size {
		return 0, io.EOF
	}
	time.Sleep(b.delay)
	k := min(len(p), max(1, b.size/10), b.size-b.sent)
	copy(p, bytes.Repeat([]byte("s"), k))
	b.sent += k
	return k, nil
}
