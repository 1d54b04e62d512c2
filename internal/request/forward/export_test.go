package forward

// Open returns the number of open connections to all targets.
func (p *Pools) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, pool := range p.pools {
		open += pool.Open()
	}
	return open
}
