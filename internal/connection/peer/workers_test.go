package peer

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWorkersAreReusedAndTrimmed checks that consecutive tasks run on one worker,
// that trim ends idle workers, and that stop waits for a busy one.
func TestWorkersAreReusedAndTrimmed(t *testing.T) {
	pool := &workerPool{}
	var ran atomic.Int64
	for n := int64(1); n <= 10; n++ {
		pool.run(func() { ran.Add(1) })
		eventually(t, "the worker is idle again", func() bool { return ran.Load() == n && pool.idleCount() == 1 })
	}
	pool.trim(now() + workerIdleTimeout + time.Second)
	assert.Equal(t, pool.idleCount(), 0)
	release := make(chan struct{})
	pool.run(func() { <-release; ran.Add(1) })
	pool.run(func() { ran.Add(1) })
	eventually(t, "a task runs while another worker is busy", func() bool { return ran.Load() == 11 })
	close(release)
	pool.stop()
	assert.Equal(t, ran.Load(), int64(12))
	assert.Equal(t, pool.idleCount(), 0)
}

func (p *workerPool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
