// Package sidecar is the platform's sidecar: one service behind one listener, by
// one file, with a door for operators. A new process of the same sidecar takes
// the place of one that serves without a caller noticing.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/fleet"
	httpfront "gorselink/internal/front/http"
	"gorselink/internal/nodes"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

const (
	// heapShare of the memory limit is the Go runtime's; the rest is for the
	// kernel's socket buffers, which count too, and for what the runtime
	// overshoots by.
	heapShare = 0.7

	// largeShare: what is read ahead of long answers may fill one part in so
	// many of the memory.
	largeShare = 5
	// longShare: so may bodies of requests over the protocol's first bound.
	longShare = 8
	// bodyShare: bodies may fill one part in so many of the memory. Heads,
	// answers, stacks and garbage need the rest; at 32 MB it is still room
	// for 64 of the longest bodies.
	bodyShare = 8

	// restTime is what a second answer may come late, some milliseconds, and short beside
	// what a request takes: a connection that rests is one that others have to do without,
	// and where new ones come up badly that costs service.
	restTime = 5 * time.Millisecond

	// comingTime is how long after SIGTERM all goes on as before at the least:
	// new connections go on coming for 0.4 s. The same holds for a drain by hand.
	comingTime = 600 * time.Millisecond
	// windDown is what the last requests get at the least. Until it begins
	// connections stay as they are, since their callers may have nowhere else to
	// go yet; most answers come well within it.
	windDown = 1500 * time.Millisecond
	// SIGKILL comes no sooner than killTime after the longest deadline, of which
	// killLongest counts at most, however long requests may take here.
	killLongest = 3 * time.Second
	killTime    = 700 * time.Millisecond
	// killMargin is how long before it the process is gone.
	killMargin = 200 * time.Millisecond
	// answerMargin is what the very last answers have to be written.
	answerMargin = 50 * time.Millisecond
	// drainLeast is what connections have to end in at the least, where the kill comes so
	// soon that comingTime would leave less. Until then is still more than new ones come for.
	drainLeast = 150 * time.Millisecond
	// exitMargin is how long before the kill the process ends whatever is still open. It has
	// killMargin less that to answer what it finds if it does not get to run for a while.
	exitMargin = 20 * time.Millisecond
)

// Place is where a sidecar finds what it is told.
type Options struct {
	ConfigPath  string // path of the configuration
	ConsoleAddr string // address:port for operators, if the configuration names none
	TempDir     string // folder that the processes of this sidecar share; "" for none
}

// Sidecar is one process of the platform's sidecar.
type Sidecar struct {
	place    Options
	cfg      *config.Platform // guarded by mu once it serves
	longest  time.Duration    // the shortest that LongestDeadline has been
	limits   config.Limits    // as they were at the start
	listener net.Listener
	up       *upstream.Pool
	pool     *pool.Pool
	judge    *httpfront.PlatformRouter
	callers  *httpfront.Server
	marks    *fleet.OperatorStore

	mu      sync.Mutex
	away    bool                // drained by hand
	ebb     *time.Timer         // lets go of callers once new ones have ceased to come
	before  *fleet.HandoverLink // to the process whose place this one takes, until it is gone
	after   *fleet.HandoverLink // to the one that takes this one's place
	serving bool                // after has said that it serves
	ending  bool                // SIGTERM has come
}

// Run serves until ctx ends, and then until all that was taken is answered.
// Each reload reads the configuration again.
func Run(ctx context.Context, at Options, reload <-chan os.Signal) error {
	if at.ConfigPath == "" {
		return errors.New("ROUTER_CONFIG: missing")
	}
	cfg, err := config.LoadPlatform(at.ConfigPath)
	if err != nil {
		return err
	}
	s := &Sidecar{place: at, cfg: cfg}
	return s.run(ctx, reload)
}

// thrifty is cfg with connections kept idle for no longer than upstream.KeepIdle.
func thrifty(cfg *config.Platform) *config.Platform {
	cfg.Balance.IdleConnTimeout = min(cfg.Balance.IdleConnTimeout, upstream.OptimalIdleTimeout(cfg.HandshakePrice, cfg.ConnectionPrice))
	return cfg
}

// handed is what a process hands to the one that takes its place.
type handed struct {
	Nodes  []nodes.Endpoint  `json:"nodes"`  // as they are listed now
	Listed []string          `json:"listed"` // names that have been listed once
	Memory pool.LearnedState `json:"memory"` // what was learnt
}

func (s *Sidecar) run(ctx context.Context, reload <-chan os.Signal) error {
	cfg := thrifty(s.cfg)
	s.limits, s.longest = cfg.Limits, cfg.LongestDeadline()
	var console net.Listener
	var err error
	if addr := cfg.ConsoleAddress(s.place.ConsoleAddr); addr != "" {
		if console, err = net.Listen("tcp", addr); err != nil {
			return fmt.Errorf("console: %w", err)
		}
		defer console.Close()
	}
	dir := s.folder()
	var was handed
	var ages *pool.Ages // of cfg.Known
	if dir != "" {
		if s.before, s.listener, err = fleet.TakeOver(dir, &was); err != nil {
			slog.Warn("the process before is not heard", "error", err)
		}
	}
	if s.listener == nil {
		if s.listener, err = listen(cfg.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	} else if len(was.Nodes) > 0 {
		cfg.Known.Endpoints = was.Nodes // as new as what the old process goes by
		ages = was.Memory.Ages
	}
	defer s.listener.Close()
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	s.up = upstream.New(upstream.Config{
		DialTimeout:        cfg.DialTimeout,
		IdleTimeout:        cfg.Balance.IdleConnTimeout,
		ReuseDelay:         restTime,
		LargeResponseBytes: s.memory() / largeShare,
		MaxStreamBytes:     httpfront.PlatformMaxBytes,
	})
	defer s.up.Close()
	begin := discovery(cfg)
	if cfg.Balance.PullDiscovery && len(cfg.Known.Endpoints) > 0 {
		begin.Resume(cfg.Known.Index)
	}
	s.pool, err = pool.New(pool.Config{
		Name:    cfg.Name,
		Seed:    cfg.Seed,
		Balance: cfg.Balance,
		Zones:   cfg.Zones,
		Known:   cfg.Known,
		Source:  begin,
		Limits:  bodyLimits(s.memory()),
		Ages:    ages,
	}, s.up)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s.pool.AddKnownNames(was.Listed)
	form, err := s.form(cfg)
	if err != nil {
		return err
	}
	if s.before != nil {
		s.pool.Restore(was.Memory)
	}
	s.judge = httpfront.NewPlatformRouter(s.pool, form)
	s.callers = httpfront.NewServer(s.judge, 1, httpfront.Timeouts{})
	s.share()
	if s.marks, err = fleet.OpenOperatorStore(dir, s.heed); err != nil {
		slog.Error("what operators say cannot be kept, and is refused", "error", err)
		s.marks = fleet.UnusableOperatorStore(err, s.heed)
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.marks.Watch(work.Done())
	go s.pool.Run(work)
	go s.report(work)
	if console != nil {
		door := fleet.NewConsole(operated{s})
		go door.Serve(fleet.NewLimitedListener(console))
		defer door.Close()
	}
	served := make(chan error, 1)
	go func() { served <- s.callers.Serve(s.listener) }()
	takesOver := s.before != nil
	if takesOver {
		s.succeed(s.before)
	}
	if dir != "" {
		successors, err := fleet.ListenForSuccessor(dir, s.listener, s.state, s.begins, s.replaced)
		if err != nil {
			slog.Warn("no other process can take this one's place unnoticed", "error", err)
		} else {
			defer successors.Close()
		}
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "tier", cfg.Tier, "takes over", takesOver)
	for ctx.Err() == nil {
		select {
		case err := <-served:
			return fmt.Errorf("serve: %w", err)
		case <-reload:
			s.reread()
		case <-ctx.Done():
		}
	}
	s.end(served)
	return nil
}

// folder is the one that the processes of this sidecar share, "" if there is
// none. One that cannot be made yet is made once something is to be kept there.
func (s *Sidecar) folder() string {
	if s.place.TempDir == "" {
		return ""
	}
	dir := filepath.Join(s.place.TempDir, "gorselink-"+url.QueryEscape(s.cfg.Name))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		slog.Error("the folder to share with other processes cannot be made yet", "error", err)
	}
	return dir
}

func (s *Sidecar) memory() int64 { return int64(s.limits.MemoryMB) << 20 }

// share takes this process's part of the limits: all of them, or half while
// another process of this sidecar is there as well, as the limits are for both.
func (s *Sidecar) share() {
	s.mu.Lock()
	defer s.mu.Unlock() // to the end, so that the last word is of the latest state
	parts := int64(1)
	if s.before != nil || s.after != nil {
		parts = 2
	}
	memory, conns := s.memory()/parts, max(2, s.limits.Sockets/int(parts)-config.ReservedDescriptors)
	debug.SetMemoryLimit(int64(float64(memory) * heapShare))
	s.up.SetLimits(conns/2, memory/largeShare)
	s.callers.SetMaxConns(conns / 2)
	s.pool.SetLimits(bodyLimits(memory))
}

func bodyLimits(memory int64) pool.Limits {
	return pool.Limits{BodyBytes: memory / bodyShare, LongBytes: memory / longShare}
}

// state is what the next process is told.
func (s *Sidecar) state() any {
	return handed{Nodes: s.pool.List().Endpoints, Listed: s.pool.KnownNames(), Memory: s.pool.LearnedState()}
}

// succeed takes the place of the process at the other end of l.
func (s *Sidecar) succeed(l *fleet.HandoverLink) {
	go func() {
		l.ReceiveConns(s.callers.Resume)
		s.mu.Lock()
		s.before = nil
		s.mu.Unlock()
		slog.Info("the process before is gone")
		s.share()
	}()
	go func() {
		for !s.pool.HasList() { // the list may come from discovery alone
			select {
			case <-l.Done():
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		if err := l.SendReady(); err != nil {
			slog.Warn("the process before is not told", "error", err)
		}
	}()
}

// begins tells that another process is about to take this one's place.
func (s *Sidecar) begins(l *fleet.HandoverLink) {
	s.mu.Lock()
	s.after = l
	s.mu.Unlock()
	slog.Info("another process begins")
	s.share()
	go func() {
		<-l.Done()
		s.mu.Lock()
		last := s.after == l // another one may have begun since
		if last {
			s.after, s.serving = nil, false
		}
		ending := s.ending
		s.mu.Unlock()
		if last && !ending {
			slog.Warn("the other process is gone, this one serves on")
			s.share()
			s.accept(true)
		}
	}()
}

// replaced tells that the next process serves. It takes what is new from here
// on; what this one has stays until it is told to end, as the other may fail.
func (s *Sidecar) replaced(*fleet.HandoverLink) {
	s.mu.Lock()
	s.serving = true
	s.mu.Unlock()
	slog.Info("another process serves")
	s.accept(false)
}

// accept makes this process take new connections, or leave them to the next one.
func (s *Sidecar) accept(on bool) {
	until := time.Unix(1, 0)
	if on {
		until = time.Time{}
	}
	if l, ok := s.listener.(*net.TCPListener); ok {
		l.SetDeadline(until)
	}
}

// report logs a summary a second while anything happens, until ctx ends.
func (s *Sidecar) report(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.pool.Report(now)
		}
	}
}

// discovery is the source that the configuration names.
func discovery(cfg *config.Platform) *nodes.Discovery {
	if cfg.Balance.PullDiscovery {
		return nodes.NewDiscovery(cfg.Discovery, nodes.SharedServiceTimeouts())
	}
	return nodes.NewDiscovery(cfg.Discovery, nodes.LocalAgentTimeouts(cfg.DrainGrace))
}

// form is how requests are judged by cfg, whose classes the pool learns of.
func (s *Sidecar) form(cfg *config.Platform) (*httpfront.PlatformConfig, error) {
	f := &httpfront.PlatformConfig{Classes: map[string]httpfront.PlatformClass{}, Tenants: cfg.Tenants}
	for name, i := range cfg.Classes {
		class := cfg.Balance.Classes[i]
		number, err := s.pool.ClassNumber(class)
		if err != nil {
			return nil, err
		}
		f.Classes[name] = httpfront.PlatformClass{Class: class, Number: number}
	}
	return f, nil
}

// reread takes up a new configuration whole, or not at all: a sidecar that
// serves by the old one is worth more than one that serves by half of a new one.
// Requests that are open keep their class. Addresses and limits hold for the life
// of the process.
func (s *Sidecar) reread() {
	cfg, err := config.ReloadPlatform(s.place.ConfigPath, s.cfg)
	if err == nil {
		err = s.retune(thrifty(cfg))
	}
	if err != nil {
		slog.Error("reload: the old configuration stands", "error", err)
		return
	}
	slog.Info("reload", "discovery", cfg.Discovery, "classes", len(cfg.Classes), "attempts", cfg.Balance.AttemptLimit)
	next := discovery(cfg)
	if index, known := s.pool.ListVersion(); cfg.Balance.PullDiscovery && known {
		next.Resume(index) // the same list at another address
	}
	s.pool.SetSource(next)
}

// mostClasses bounds the classes that the Balancer knows, used or not.
const mostClasses = 1024

func (s *Sidecar) retune(cfg *config.Platform) error {
	if s.pool.ClassCount() > mostClasses {
		return fmt.Errorf("over %d classes since the start", mostClasses)
	}
	// New classes that nothing leads to change nothing, so that they can come
	// before what may fail.
	form, err := s.form(cfg)
	if err != nil {
		return err
	}
	if err := s.pool.Reconfigure(cfg.Balance); err != nil {
		return err
	}
	s.judge.SetConfig(form)
	s.mu.Lock()
	s.cfg, s.longest = cfg, min(s.longest, cfg.LongestDeadline())
	s.mu.Unlock()
	return nil
}

// end serves on until all that was taken is answered, and is over before the
// kill could come. With a process that has taken this one's place, callers go
// on there; without one, the front has to hear first that they must not come.
func (s *Sidecar) end(served <-chan error) {
	s.mu.Lock()
	s.ending = true
	// Whoever kills this process may reckon with the deadlines before a reload, or with
	// those after it.
	next, longest := s.after, s.longest
	if !s.serving {
		next = nil
	}
	s.mu.Unlock()
	began := time.Now()
	kill := began.Add(min(longest, killLongest) + killTime)
	last := began.Add(max(kill.Sub(began)-killMargin, comingTime))
	exit := kill.Add(-exitMargin)
	s.callers.SetResponseDeadline(last.Add(-answerMargin))
	// What came before the bound was set may have longer than this process has, and what
	// is still coming may be whole in the moment that the process ends.
	defer time.AfterFunc(time.Until(last)-answerMargin, func() {
		s.callers.StopReading()
		s.pool.Close()
	}).Stop()
	if next != nil {
		slog.Info("handing over", "callers", s.callers.OpenConns())
		s.listener.Close()
		<-served
		s.callers.SetHandover(next.SendConn)
		s.callers.Drain(exit)
		next.Close()
		return
	}
	slog.Info("draining", "left", time.Until(last), "open", s.pool.OpenRequests())
	s.judge.MarkDraining()
	coming := min(comingTime, last.Sub(began)-drainLeast)
	// Where requests may take long, fewer of those that come late end in time.
	time.Sleep(max(coming, time.Until(last)-max(windDown, longest/2)))
	s.callers.Drain(exit)
	// Whoever connected while the last one was closed is served as well.
	time.Sleep(min(comingTime, last.Sub(began)-answerMargin) - time.Since(began))
	s.listener.Close()
	<-served
	s.callers.Drain(exit)
}
