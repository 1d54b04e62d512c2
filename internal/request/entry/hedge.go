package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

// hedgeDelayMin is the shortest time in which an answer is waited for before a
// request is hedged.
const hedgeDelayMin = time.Millisecond

// quantile follows the 95th percentile of response times: each longer one
// moves it up by 19 times the step by which a shorter one moves it down.
type quantile struct{ micros atomic.Int64 }

// Steps of the quantile, as fractions of its value.
const (
	quantileRise = 19
	quantileStep = 400
)

func (q *quantile) observe(took time.Duration) {
	micros, value := took.Microseconds(), q.micros.Load()
	step := value/quantileStep + 1
	switch {
	case value == 0:
		value = micros
	case micros > value:
		value += step * quantileRise
	default:
		value -= step
	}
	q.micros.Store(max(value, 1))
}

// value returns the percentile; 0 before the first observation.
func (q *quantile) value() time.Duration {
	return time.Duration(q.micros.Load()) * time.Microsecond
}

// hedgeable reports whether a second copy of the request may be sent.
func (x *exchange) hedgeable() bool {
	return x.service.Declared.HedgePercent > 0 && x.free() && x.params.idempotent && x.body.whole &&
		x.state.hedgeDelay.value() > 0
}

// attemptHedged makes an attempt and, if it takes longer than most, one at a
// second target. The first that is answered counts; the other is canceled.
func (x *exchange) attemptHedged(first destination, history *history) result {
	x.state.hedges.earn(x.service.Declared.HedgePercent)
	race := &race{exchange: x, results: make(chan raceResult, 2)}
	race.start(first)
	timer := time.NewTimer(max(x.state.hedgeDelay.value(), hedgeDelayMin))
	defer timer.Stop()
	select {
	case r := <-race.results:
		race.running--
		race.keep(r)
		return r.result
	case <-timer.C:
	}
	if second, ok := x.hedgeTarget(first, history); ok {
		x.logHedged(second)
		race.start(second)
	}
	return race.winner()
}

// hedgeTarget returns where a hedge goes, if the budget allows one.
func (x *exchange) hedgeTarget(first destination, tried *history) (destination, bool) {
	more := history{targets: append([]string{first.route.Target}, tried.targets...)}
	second, ok := x.chooseTarget(&more)
	return second, ok && x.state.hedges.spend()
}

// race runs the attempts of a hedged request.
type race struct {
	exchange *exchange
	results  chan raceResult
	running  int
	cancels  []context.CancelFunc
}

// raceResult is the result of the attempt that was started as number index.
type raceResult struct {
	result
	index int
}

func (race *race) start(d destination) {
	ctx, cancel := context.WithCancel(race.exchange.ctx)
	index := len(race.cancels)
	race.cancels = append(race.cancels, cancel)
	race.running++
	go func() { race.results <- raceResult{race.exchange.attempt(ctx, d), index} }()
}

// winner waits for the first attempt that was answered. Without one the result
// is unknown if any attempt's is.
func (race *race) winner() result {
	var end raceResult
	for race.running > 0 {
		r := <-race.results
		race.running--
		if r.kind == outcome.Answered {
			end = r
			break
		}
		if end.kind != outcome.Unknown {
			end = r
		}
	}
	race.keep(end)
	return end.result
}

// keep cancels all attempts but the winner, whose body lives until the end of
// the exchange.
func (race *race) keep(winner raceResult) {
	for index, cancel := range race.cancels {
		if index == winner.index {
			race.exchange.cleanup = append(race.exchange.cleanup, cancel)
		} else {
			cancel()
		}
	}
	if race.running > 0 {
		go race.drain(race.running)
	}
}

// drain closes the answers of attempts that lost.
func (race *race) drain(running int) {
	for range running {
		loser := <-race.results
		loser.answer.close()
	}
}

func (x *exchange) logHedged(d destination) {
	if x.handler.config.LogDecisions {
		x.decision(events.RequestHedged).Str("target", d.route.Target).Str("dispatcher", d.vm).Send()
	}
}
