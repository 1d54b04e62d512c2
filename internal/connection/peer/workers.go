package peer

import (
	"sync"
	"time"
)

const (
	// maxIdleWorkers is the maximum number of goroutines kept for later requests.
	maxIdleWorkers = 128
	// workerIdleTimeout is the time after which an idle worker ends.
	workerIdleTimeout = 10 * time.Second
)

// workerPool runs tasks on reused goroutines. A new goroutine would have to grow
// its stack for each request.
type workerPool struct {
	mu      sync.Mutex
	idle    []*worker // ordered by idleSince, oldest first
	stopped bool
	running sync.WaitGroup
}

// worker is one goroutine of the pool. It receives its tasks on a channel of its own.
type worker struct {
	tasks     chan func()
	idleSince time.Duration // when the worker became idle, on the clock of now
}

// run starts a task without delay: on an idle worker, or on a new one if there is
// none. It must not be called during or after stop.
func (p *workerPool) run(task func()) {
	p.mu.Lock()
	if last := len(p.idle) - 1; last >= 0 {
		w := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		p.mu.Unlock()
		w.tasks <- task
		return
	}
	p.mu.Unlock()
	w := &worker{tasks: make(chan func(), 1)}
	w.tasks <- task
	p.running.Go(func() { p.runWorker(w) })
}

// runWorker runs the tasks of one worker until its channel is closed or it cannot
// be parked.
func (p *workerPool) runWorker(w *worker) {
	for task := range w.tasks {
		task()
		if !p.park(w) {
			return
		}
	}
}

// park adds a worker to the idle ones. It reports false if the pool is stopped or
// already has enough idle workers.
func (p *workerPool) park(w *worker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || len(p.idle) >= maxIdleWorkers {
		return false
	}
	w.idleSince = now()
	p.idle = append(p.idle, w)
	return true
}

// trim ends the workers that have been idle for longer than
// workerIdleTimeout. at is the current time on the clock of now.
func (p *workerPool) trim(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := 0
	for expired < len(p.idle) && at-p.idle[expired].idleSince > workerIdleTimeout {
		close(p.idle[expired].tasks)
		expired++
	}
	p.idle = append(p.idle[:0], p.idle[expired:]...)
}

// stop ends all idle workers and waits until the busy ones have finished.
func (p *workerPool) stop() {
	p.mu.Lock()
	p.stopped = true
	for _, w := range p.idle {
		close(w.tasks)
	}
	p.idle = nil
	p.mu.Unlock()
	p.running.Wait()
}
