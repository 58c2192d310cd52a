package pool

// MayReachOtherProcess implements upstream.ProcessObserver.
func (a *attempt) MayReachOtherProcess() bool {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.MayReachOtherProcess(a.request.id, a.number)
}

// MayHaveReachedOtherProcess implements upstream.ProcessObserver.
func (a *attempt) MayHaveReachedOtherProcess() {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.MayHaveReachedOtherProcess(a.request.id, a.number)
}
