// Package sidecar runs the load balancer as a platform sidecar: one service behind one
// listener, one configuration file and an operator console. A new process can take over
// from a running one without failing any request.
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
	"gorselink/internal/discovery"
	"gorselink/internal/fleet"
	"gorselink/internal/httpserver"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

const (
	// connReuseDelay is how long an endpoint connection stays unused after a response, so that an
	// unsolicited second response is detected before the next request is sent on it.
	connReuseDelay = 5 * time.Millisecond

	// newConnPeriod is how long the process accepts new connections after SIGTERM or an
	// operator's drain. The front-end load balancer opens new ones for up to 0.4 s.
	newConnPeriod = 600 * time.Millisecond
	// minDrainPeriod is how long before its exit the process starts to close connections, or
	// less if less time is left after newConnPeriod. Until then connections stay open,
	// because callers may not be able to connect to another sidecar yet.
	minDrainPeriod = 1500 * time.Millisecond
	// The platform sends SIGKILL no sooner than killDelay after the longest request deadline
	// following SIGTERM. A longest deadline above maxKillDeadline counts as maxKillDeadline.
	maxKillDeadline = 3 * time.Second
	killDelay       = 700 * time.Millisecond
	// killMargin is how long before SIGKILL the process should have exited.
	killMargin = 200 * time.Millisecond
	// responseWriteMargin is the time reserved for writing the last responses.
	responseWriteMargin = 50 * time.Millisecond
	// minConnDrainPeriod is the minimum time for closing connections. It shortens
	// newConnPeriod if SIGKILL arrives early.
	minConnDrainPeriod = 150 * time.Millisecond
	// exitMargin is how long before SIGKILL the process closes all open connections.
	// killMargin less exitMargin is left to respond to requests if the process is not
	// scheduled for a while.
	exitMargin = 20 * time.Millisecond
)

// Options are the settings that a sidecar gets from its environment.
type Options struct {
	ConfigPath  string
	ConsoleAddr string // host:port of the operator console if the configuration names none
	TempDir     string // parent of the directory shared by the sidecar's processes; "" for none
}

// Sidecar is one process of a sidecar.
type Sidecar struct {
	options             Options
	cfg                 *config.Platform // guarded by mu while serving
	shortestMaxDeadline time.Duration    // minimum LongestDeadline over all configurations so far
	limits              config.Limits    // from the first configuration
	listener            net.Listener
	upstream            *upstream.Pool
	pool                *pool.Pool
	router              *httpserver.PlatformRouter
	server              *httpserver.Server
	operatorState       *fleet.OperatorStore

	mu               sync.Mutex
	runtimeLimit     int64               // memory limit of the Go runtime, in bytes
	drained          bool                // by an operator
	closeIdleTimer   *time.Timer         // closes idle caller connections after newConnPeriod
	previous         *fleet.HandoverLink // to the process that this one takes over from, until it exits
	successor        *fleet.HandoverLink // to the process that takes over from this one
	successorServing bool
	requestEvents    *fleet.RequestEvents // for the successor; set when the state for it is collected
	terminating      bool                 // SIGTERM was received
}

// Run serves until ctx is done, then drains: it responds to the requests that it has received
// and returns. Each signal on reload reloads the configuration.
func Run(ctx context.Context, options Options, reload <-chan os.Signal) error {
	if options.ConfigPath == "" {
		return errors.New("ROUTER_CONFIG: missing")
	}
	cfg, err := config.LoadPlatform(options.ConfigPath)
	if err != nil {
		return err
	}
	s := &Sidecar{options: options, cfg: cfg}
	return s.run(ctx, reload)
}

// limitIdleTimeout lowers the idle timeout of endpoint connections in cfg to
// upstream.OptimalIdleTimeout and returns cfg.
func limitIdleTimeout(cfg *config.Platform) *config.Platform {
	cfg.Balance.IdleConnTimeout = min(cfg.Balance.IdleConnTimeout, upstream.OptimalIdleTimeout(cfg.HandshakePrice, cfg.ConnectionPrice))
	return cfg
}

// handoverState is the state that a process sends to its successor.
type handoverState struct {
	Endpoints  []discovery.Endpoint `json:"nodes"`  // current list
	KnownNames []string             `json:"listed"` // names of all endpoints that have been listed
	Learned    pool.LearnedState    `json:"memory"`
	RequestIDs *requestIDs          `json:"request_ids,omitempty"` // absent from earlier versions, which do not accept request events
}

func (s *Sidecar) run(ctx context.Context, reload <-chan os.Signal) error {
	cfg := limitIdleTimeout(s.cfg)
	s.limits, s.shortestMaxDeadline = cfg.Limits, cfg.LongestDeadline()
	var console net.Listener
	var err error
	if addr := cfg.ConsoleAddress(s.options.ConsoleAddr); addr != "" {
		if console, err = net.Listen("tcp", addr); err != nil {
			return fmt.Errorf("listen for operator console: %w", err)
		}
		defer console.Close()
	}
	dir := s.sharedDir()
	var inherited handoverState
	var ages *pool.Ages // of the endpoints in cfg.Known
	if dir != "" {
		if s.previous, s.listener, err = fleet.TakeOver(dir, &inherited); err != nil {
			slog.Warn("handover from the previous process failed; continuing without its state", "error", err)
		}
	}
	if s.listener == nil {
		if s.listener, err = listen(cfg.Listen); err != nil {
			return fmt.Errorf("listen for callers: %w", err)
		}
	} else if len(inherited.Endpoints) > 0 {
		cfg.Known.Endpoints = inherited.Endpoints // the previous process may have a newer list than the file
		ages = inherited.Learned.Ages
	}
	defer s.listener.Close()
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	initial := divideLimits(s.limits, s.processes())
	s.upstream = upstream.New(upstream.Config{
		DialTimeout:        cfg.DialTimeout,
		IdleTimeout:        cfg.Balance.IdleConnTimeout,
		ReuseDelay:         connReuseDelay,
		LargeResponseBytes: initial.upstream.LargeResponseBytes,
		BufferBytes:        initial.upstream.BufferBytes,
		MaxStreamBytes:     httpserver.PlatformMaxBytes,
	})
	defer s.upstream.Close()
	source := newDiscovery(cfg)
	if cfg.Balance.PullDiscovery && len(cfg.Known.Endpoints) > 0 {
		source.Resume(cfg.Known.Index)
	}
	s.pool, err = pool.New(pool.Config{
		Name:    cfg.Name,
		Seed:    cfg.Seed,
		Balance: cfg.Balance,
		Zones:   cfg.Zones,
		Known:   cfg.Known,
		Source:  source,
		Limits:  initial.bodies,
		Ages:    ages,
	}, s.upstream)
	if err != nil {
		return fmt.Errorf("create endpoint pool: %w", err)
	}
	s.pool.AddEverListedNames(inherited.KnownNames)
	routerConfig, err := s.newRouterConfig(cfg)
	if err != nil {
		return err
	}
	if s.previous != nil {
		s.pool.Restore(inherited.Learned)
	}
	s.router = httpserver.NewPlatformRouter(s.pool, routerConfig)
	if s.previous != nil {
		s.shareRequestIDs(s.previous, inherited.RequestIDs)
	}
	s.server = httpserver.NewServer(s.router, 1, httpserver.Timeouts{})
	s.applyLimits()
	if s.operatorState, err = fleet.OpenOperatorStore(dir, s.applyOperatorState); err != nil {
		slog.Error("operator state cannot be stored; rejecting operator commands", "error", err)
		s.operatorState = fleet.UnusableOperatorStore(err, s.applyOperatorState)
	}
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.operatorState.Watch(serveCtx.Done())
	go s.pool.Run(serveCtx)
	go s.reportStats(serveCtx)
	if console != nil {
		consoleServer := fleet.NewConsole(operatorAPI{s})
		go consoleServer.Serve(fleet.NewLimitedListener(console))
		defer consoleServer.Close()
	}
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }()
	takesOver := s.previous != nil
	if takesOver {
		s.takeOverFrom(s.previous)
	}
	if dir != "" {
		successors, err := fleet.ListenForSuccessor(dir, s.listener, s.handoverSnapshot, s.successorStarted, s.successorReady)
		if err != nil {
			slog.Warn("no other process can take this one's place: cannot listen for a successor", "error", err)
		} else {
			defer successors.Close()
		}
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "tier", cfg.Tier, "takes over", takesOver)
	for ctx.Err() == nil {
		select {
		case err := <-served:
			return fmt.Errorf("serve callers: %w", err)
		case <-reload:
			s.reloadConfig()
		case <-ctx.Done():
		}
	}
	s.shutdown(served)
	return nil
}

// sharedDir returns the directory shared by the processes of this sidecar, or "" if there
// is none. If the directory cannot be created, later writes of operator state try again.
func (s *Sidecar) sharedDir() string {
	if s.options.TempDir == "" {
		return ""
	}
	dir := filepath.Join(s.options.TempDir, "gorselink-"+url.QueryEscape(s.cfg.Name))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		slog.Error("cannot create the directory shared with other processes; later writes will retry", "error", err)
	}
	return dir
}

// applyLimits applies the configured limits to this process: all of them, or half while
// another process of the same sidecar is running, because both share them.
func (s *Sidecar) applyLimits() {
	s.mu.Lock()
	defer s.mu.Unlock() // held throughout, so that concurrent calls end with the latest state
	limits := divideLimits(s.limits, s.processes())
	s.runtimeLimit = limits.runtimeBytes
	debug.SetMemoryLimit(limits.runtimeBytes)
	s.upstream.SetLimits(limits.upstream)
	s.server.SetMaxConns(limits.callerConns)
	s.server.SetHeadMemory(limits.headBytes)
	s.pool.SetLimits(limits.bodies)
}

// processes returns how many processes share the limits. The caller holds the mutex while
// serving.
func (s *Sidecar) processes() int {
	if s.previous != nil || s.successor != nil {
		return 2
	}
	return 1
}

// handoverSnapshot returns the state to send to the successor.
func (s *Sidecar) handoverSnapshot() any {
	return handoverState{Endpoints: s.pool.List().Endpoints, KnownNames: s.pool.EverListedNames(), Learned: s.pool.LearnedState(), RequestIDs: s.handOverRequestIDs()}
}

// takeOverFrom takes over caller connections from the process at the other end of link,
// and notifies it when this process can serve.
func (s *Sidecar) takeOverFrom(link *fleet.HandoverLink) {
	go func() {
		link.ReceiveConns(s.server.Resume)
		s.router.SeenIDs().OtherProcessEnded()
		s.mu.Lock()
		s.previous = nil
		s.mu.Unlock()
		slog.Info("the previous process has exited; recalculating the limits")
		s.applyLimits()
	}()
	go func() {
		for !s.pool.HasList() { // without a handed-over list, wait for discovery
			select {
			case <-link.Done():
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		if err := link.SendReady(); err != nil {
			slog.Warn("cannot notify the previous process that this one is ready", "error", err)
		}
	}()
}

// successorStarted records that another process is about to take over. If that process
// exits first, this one resumes accepting connections.
func (s *Sidecar) successorStarted(link *fleet.HandoverLink) {
	s.mu.Lock()
	s.successor = link
	events := s.requestEvents
	s.mu.Unlock()
	slog.Info("successor process started; using half of the limits")
	s.applyLimits()
	link.HandleRequestEvents(s.observeRequestEvent)
	go events.Send(link)
	go func() {
		<-link.Done()
		s.router.SeenIDs().OtherProcessEnded()
		s.mu.Lock()
		current := s.successor == link // a newer successor may have started
		if current {
			s.successor, s.successorServing = nil, false
		}
		terminating := s.terminating
		s.mu.Unlock()
		if current && !terminating {
			slog.Warn("successor process exited; accepting new connections again")
			s.applyLimits()
			s.setAccepting(true)
		}
	}()
}

// successorReady records that the successor serves, and leaves new connections to it.
// Open connections stay here until SIGTERM, because the successor may still fail.
func (s *Sidecar) successorReady(*fleet.HandoverLink) {
	s.mu.Lock()
	s.successorServing = true
	s.mu.Unlock()
	slog.Info("successor process is ready; leaving new connections to it")
	s.setAccepting(false)
}

// setAccepting starts or stops accepting new connections on the shared listener.
func (s *Sidecar) setAccepting(on bool) {
	deadline := time.Unix(1, 0)
	if on {
		deadline = time.Time{}
	}
	if l, ok := s.listener.(*net.TCPListener); ok {
		l.SetDeadline(deadline)
	}
}

// reportStats logs the statistics of the pool and of the callers' connections once a second while there is activity, until ctx is done.
func (s *Sidecar) reportStats(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.pool.Report(now)
			s.server.Report()
			s.reportMemory()
		}
	}
}

// newDiscovery returns the discovery client that the configuration selects.
func newDiscovery(cfg *config.Platform) *discovery.Discovery {
	if cfg.Balance.PullDiscovery {
		return discovery.NewDiscovery(cfg.Discovery, discovery.SharedServiceTimeouts())
	}
	return discovery.NewDiscovery(cfg.Discovery, discovery.LocalAgentTimeouts(cfg.DrainGrace))
}

// newRouterConfig converts cfg for the router and registers its classes with the pool.
func (s *Sidecar) newRouterConfig(cfg *config.Platform) (*httpserver.PlatformConfig, error) {
	routerConfig := &httpserver.PlatformConfig{Classes: map[string]httpserver.PlatformClass{}, Tenants: cfg.Tenants}
	for name, i := range cfg.Classes {
		class := cfg.Balance.Classes[i]
		number, err := s.pool.ClassNumber(class)
		if err != nil {
			return nil, err
		}
		routerConfig.Classes[name] = httpserver.PlatformClass{Class: class, Number: number}
	}
	return routerConfig, nil
}

// reloadConfig loads the configuration again and applies it completely, or keeps the
// current one if any part is invalid. Open requests keep their class. Addresses and limits
// do not change after the start.
func (s *Sidecar) reloadConfig() {
	cfg, err := config.ReloadPlatform(s.options.ConfigPath, s.cfg)
	if err == nil {
		err = s.applyConfig(limitIdleTimeout(cfg))
	}
	if err != nil {
		slog.Error("reload failed; keeping the current configuration", "error", err)
		return
	}
	slog.Info("configuration reloaded", "discovery", cfg.Discovery, "classes", len(cfg.Classes), "attempts", cfg.Balance.AttemptLimit)
	source := newDiscovery(cfg)
	if index, known := s.pool.ListVersion(); cfg.Balance.PullDiscovery && known {
		source.Resume(index) // the new address serves the same list
	}
	s.pool.SetSource(source)
}

// maxClasses bounds the classes registered since the start, including unused ones.
const maxClasses = 1024

func (s *Sidecar) applyConfig(cfg *config.Platform) error {
	if s.pool.ClassCount() > maxClasses {
		return fmt.Errorf("more than %d request classes since the start of the process", maxClasses)
	}
	// Registering classes has no effect until the router uses them, so it can precede the
	// steps that may fail.
	routerConfig, err := s.newRouterConfig(cfg)
	if err != nil {
		return err
	}
	if err := s.pool.Reconfigure(cfg.Balance, cfg.Zones); err != nil {
		return err
	}
	s.upstream.SetTimeouts(cfg.DialTimeout, cfg.Balance.IdleConnTimeout)
	s.router.SetConfig(routerConfig)
	s.mu.Lock()
	s.cfg, s.shortestMaxDeadline = cfg, min(s.shortestMaxDeadline, cfg.LongestDeadline())
	s.mu.Unlock()
	return nil
}

// shutdown responds to all received requests and returns before SIGKILL is due. It hands caller
// connections over to a serving successor. Without one, it first reports not ready, so that
// the front-end load balancer stops opening connections.
func (s *Sidecar) shutdown(served <-chan error) {
	s.mu.Lock()
	s.terminating = true
	// The platform may compute the time of SIGKILL from the deadlines before or after a
	// reload, so the shortest applies.
	successor, longestDeadline := s.successor, s.shortestMaxDeadline
	if !s.successorServing {
		successor = nil
	}
	s.mu.Unlock()
	terminatedAt := time.Now()
	killAt := terminatedAt.Add(min(longestDeadline, maxKillDeadline) + killDelay)
	exitBy := terminatedAt.Add(max(killAt.Sub(terminatedAt)-killMargin, newConnPeriod))
	forcedExitAt := killAt.Add(-exitMargin)
	defer func() {
		open := s.server.OpenRequests()
		slog.Info("drained", "unanswered", open.Active+open.Arriving)
	}()
	s.server.SetResponseDeadline(exitBy.Add(-responseWriteMargin))
	// Requests received before the response deadline was set may have later deadlines, and
	// partially received ones may complete as the process exits.
	defer time.AfterFunc(time.Until(exitBy)-responseWriteMargin, func() {
		s.server.StopReading()
		s.pool.Close()
	}).Stop()
	if successor != nil {
		slog.Info("handing over caller connections to the successor process", "callers", s.server.OpenConns())
		s.listener.Close()
		<-served
		s.server.SetHandover(successor.SendConn)
		s.server.Drain(forcedExitAt)
		successor.Close()
		return
	}
	slog.Info("draining caller connections", "left", time.Until(exitBy), "open", s.pool.OpenRequests())
	s.router.MarkDraining()
	acceptPeriod := min(newConnPeriod, exitBy.Sub(terminatedAt)-minConnDrainPeriod)
	// With long deadlines, requests that arrive late are less likely to finish in time.
	time.Sleep(max(acceptPeriod, time.Until(exitBy)-max(minDrainPeriod, longestDeadline/2)))
	s.server.Drain(forcedExitAt)
	// Connections opened during the drain are served too.
	time.Sleep(min(newConnPeriod, exitBy.Sub(terminatedAt)-responseWriteMargin) - time.Since(terminatedAt))
	s.listener.Close()
	<-served
	s.server.Drain(forcedExitAt)
}
