package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func startLoop(t *testing.T) (*Loop, context.CancelFunc) {
	l := New()
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	return l, cancel
}

func TestFunctionsRunInOrderOneAtATime(t *testing.T) {
	l, cancel := startLoop(t)
	defer cancel()
	var order []int
	for i := range 100 {
		l.Post(func() { order = append(order, i) })
	}
	assert.Assert(t, l.Call(func() {}))
	for i := range order {
		assert.Equal(t, order[i], i)
	}
	assert.Equal(t, len(order), 100)
}

func TestAPostedFunctionMayPost(t *testing.T) {
	l, cancel := startLoop(t)
	defer cancel()
	done := make(chan struct{})
	l.Post(func() { l.Post(func() { close(done) }) })
	<-done
}

func TestPostAfterWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, cancel := startLoop(t)
		defer cancel()
		began := time.Now()
		ran := map[time.Duration]time.Duration{}
		for _, pause := range []time.Duration{time.Second, 0, -time.Second} {
			l.PostAfter(pause, func() { ran[pause] = time.Since(began) })
		}
		time.Sleep(2 * time.Second)
		assert.Assert(t, l.Call(func() {}))
		assert.DeepEqual(t, ran, map[time.Duration]time.Duration{time.Second: time.Second, 0: 0, -time.Second: 0})
	})
}

func TestCallReportsTheEndOfTheLoop(t *testing.T) {
	l, cancel := startLoop(t)
	cancel()
	for l.Call(func() {}) {
		time.Sleep(time.Millisecond)
	}
	l.Post(func() { t.Error("a function ran after the loop ended") })
}

func TestEveryLeavesOutTicksWhileOneIsQueued(t *testing.T) {
	l := New()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ticks := 0
	l.Every(ctx, time.Millisecond, func() { ticks++ })
	time.Sleep(50 * time.Millisecond)
	l.mu.Lock()
	queued := len(l.queue)
	l.mu.Unlock()
	assert.Equal(t, queued, 1, "while the loop is not running, one tick is queued")
	go l.Run(ctx)
	assert.Assert(t, l.Call(func() {}))
}
