// Command even measures how evenly many processes of the program spread thin streams, and
// how they take a slow eighth of the nodes and its end. Builds are played in turn, A B A B,
// before the same kind of nodes; nothing but the build differs.
//
//	go run ./scripts/even -n 200 -nodes 60 -rate 1000 -turns 2 old/bin/gorselink bin/gorselink
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func main() {
	n := flag.Int("n", 200, "processes")
	nodes := flag.Int("nodes", 60, "nodes")
	rate := flag.Float64("rate", 1000, "requests a second in all")
	turns := flag.Int("turns", 2, "how often each build is played")
	flag.Parse()
	if flag.NArg() < 1 || *n < 1 || *nodes < 8 || *rate <= 0 || *turns < 1 {
		fmt.Fprintln(os.Stderr, "usage: even [-n processes] [-nodes n] [-rate r] [-turns n] PROGRAM...")
		os.Exit(2)
	}
	fmt.Println("| build | scatter over chance's | least | slow: share | p99, ms | sound again, 0 to 2 s | 2 to 5 s | 5 to 15 s | most in 0.5 s | failed |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for turn := range *turns {
		for _, program := range flag.Args() {
			if err := play(program, *n, *nodes, *rate, uint64(turn)); err != nil {
				fmt.Fprintf(os.Stderr, "even: %s: %v\n", program, err)
				os.Exit(1)
			}
		}
	}
}

const (
	work  = 12 * time.Millisecond // of a request, in the mean; exponential
	cores = 4
	calm  = 20 * time.Second // of which the last half counts
	sick  = 15 * time.Second // of which all but the first 5 s count
	after = 15 * time.Second
	step  = 500 * time.Millisecond
)

// rig is what a play counts.
type rig struct {
	begin  time.Time
	slow   atomic.Bool
	mu     sync.Mutex
	counts [][]int // by step, by node
	times  []time.Duration
	failed int
}

func eighth(node int) bool { return node%8 == 4 }

func play(program string, n, nodes int, rate float64, seed uint64) (err error) {
	dir, err := os.MkdirTemp("", "even")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	r := &rig{begin: time.Now()}
	var list []string
	for i := range nodes {
		slots := make(chan struct{}, cores)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			r.count(i, nodes)
			slots <- struct{}{}
			took := rand.ExpFloat64() * float64(work)
			if r.slow.Load() && eighth(i) {
				took *= 8
			}
			time.Sleep(time.Duration(took))
			<-slots
			io.WriteString(w, "ok")
		}))
		defer s.Close()
		list = append(list, fmt.Sprintf("%q", s.Listener.Addr().String()))
	}
	var all []*exec.Cmd
	defer func() {
		for _, cmd := range all {
			cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, cmd := range all {
			cmd.Wait()
		}
	}()
	var targets []string
	for i := range n {
		cmd, target, err := start(program, dir, strings.Join(list, ","), i, n)
		if err != nil {
			return err
		}
		all, targets = append(all, cmd), append(targets, target)
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	for _, target := range targets {
		if err := ready(client, target); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.begin, r.counts, r.times, r.failed = time.Now(), nil, nil, 0
	r.mu.Unlock()
	var p99 float64
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(calm)
		r.slow.Store(true)
		time.Sleep(5 * time.Second)
		r.take()
		time.Sleep(sick - 5*time.Second)
		p99 = r.take()
		r.slow.Store(false)
		time.Sleep(after)
	}()
	rng := rand.New(rand.NewPCG(seed, 1))
	var out sync.WaitGroup
	for due := r.begin; ; due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		time.Sleep(time.Until(due))
		select {
		case <-done:
		default:
			target := targets[rng.IntN(n)]
			out.Go(func() { r.ask(client, target, due) })
			continue
		}
		break
	}
	out.Wait()
	over, least := r.scatter(calm/2, calm, nodes)
	end := calm + sick
	most := 0.0
	for at := end; at < end+after; at += step {
		most = max(most, r.share(at, at+step))
	}
	fmt.Printf("| %s | %.2f | %.2f | %.2f | %.0f | %.2f | %.2f | %.2f | %.2f | %d |\n", program, over, least, r.share(calm+5*time.Second, end), p99*1000,
		r.share(end, end+2*time.Second), r.share(end+2*time.Second, end+5*time.Second), r.share(end+5*time.Second, end+after), most, r.failed)
	return nil
}

// start starts one process with its own file.
func start(program, dir, list string, i, n int) (*exec.Cmd, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	address := l.Addr().String()
	l.Close()
	file := filepath.Join(dir, fmt.Sprint(i, ".toml"))
	text := fmt.Sprintf("[process]\nname = \"p%d\"\nmemory = \"64 MiB\"\ndescriptors = 512\ncores = 1\ninstance = %d\ninstances = %d\n"+
		"[listeners.in]\naddress = %q\n[pools.all]\nnodes = [%s]\n[[routes]]\npool = \"all\"\n", i, i, n, address, list)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	cmd := exec.Command(program, "serve", "--config", file)
	cmd.Env = append(os.Environ(), "TMPDIR="+dir)
	return cmd, "http://" + address + "/", cmd.Start()
}

func ready(client *http.Client, target string) error {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		if resp, err := client.Get(target); err == nil {
			resp.Body.Close()
			return nil
		}
	}
	return errors.New(target + " does not answer")
}

func (r *rig) ask(client *http.Client, target string, due time.Time) {
	resp, err := client.Get(target)
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = append(r.times, time.Since(due))
	if !ok {
		r.failed++
	}
}

func (r *rig) count(node, nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := int(time.Since(r.begin) / step)
	for len(r.counts) <= k {
		r.counts = append(r.counts, make([]int, nodes))
	}
	r.counts[k][node]++
}

// take is the 99th percentile in seconds of what has ended since the last one.
func (r *rig) take() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.times
	r.times = nil
	slices.Sort(all)
	return all[(len(all)-1)*99/100].Seconds()
}

// share is what the eighth got over its fair share.
func (r *rig) share(from, to time.Duration) float64 {
	mine, all, n, nodes := 0.0, 0.0, 0.0, 0.0
	for k := from / step; k < to/step && int(k) < len(r.counts); k++ {
		n, nodes = 0, float64(len(r.counts[k]))
		for i, c := range r.counts[k] {
			all += float64(c)
			if eighth(i) {
				mine, n = mine+float64(c), n+1
			}
		}
	}
	return mine / all * nodes / n
}

// scatter is the coefficient of variation over chance's, and the least node over the mean.
func (r *rig) scatter(from, to time.Duration, nodes int) (over, least float64) {
	sum := make([]float64, nodes)
	for k := from / step; k < to/step; k++ {
		for i, c := range r.counts[k] {
			sum[i] += float64(c)
		}
	}
	total, squares := 0.0, 0.0
	for _, c := range sum {
		total, squares = total+c, squares+c*c
	}
	mean := total / float64(nodes)
	return math.Sqrt(squares/float64(nodes)-mean*mean) / math.Sqrt(mean), slices.Min(sum) / mean
}
