package dispatch

import (
	"math"
	"time"
)

const (
	// recentWeight is the weight of a new answer in the recent mean.
	recentWeight = 0.1
	// usualWeight is the weight of the recent mean in the usual time while the
	// target answers in about its usual time.
	usualWeight = 0.02
	// unusualWeight is the same while the target answers much slower, so that a
	// spell of slowness hardly changes what counts as usual.
	unusualWeight = 0.0001
	// unusualFactor is the recent mean, in usual times, above which the target
	// answers unusually slowly.
	unusualFactor = 1.5
	// goodFactor bounds an answer in good time, in usual times.
	goodFactor = 2
	// slowFactor bounds the recent mean of a target that is not slow, in good times.
	slowFactor = 1.5
	// likelyDeviations is the number of mean deviations above the mean that a
	// request is given to finish. A request that starts with less time than that
	// would often occupy a slot and be late all the same.
	likelyDeviations = 2
	// levelAnswers is the number of answers that the level is measured by.
	levelAnswers = 10
	// firstAnswers is the number of answers before the usual time is relied on.
	firstAnswers = 20
	// idleRecovery is the share by which the recent mean returns to the usual
	// time in each second without answers.
	idleRecovery = 0.1
	// maxSpeed caps the speed of a target that has become faster than usual.
	maxSpeed = 1.5
)

// serviceTimes measures how fast a target answers, from what its dispatcher
// sees. Only requests and answers that were small enough to be held in memory
// count; a streamed body takes the time that its caller takes.
type serviceTimes struct {
	// recent and usual are mean times in seconds; zero before the first answer.
	recent  float64
	usual   float64
	answers int
	// deviation is the recent mean distance from the mean, in seconds.
	deviation float64
	// holding is the recent mean time for which any request holds a slot.
	holding float64
	// level is the mean time in seconds at the cold-start slots after slow
	// answers have made the target cold; 0 while it is not known. A target that
	// bears little becomes quicker there than it was, and slow again as the limit
	// rises. A target that a neighbour slows stays as slow at any limit: then its
	// answers are in good time by this level.
	level float64
	// levelSum and levelAnswers are the sum so far and what is still missing.
	levelSum     float64
	levelAnswers int
	// levelSince excludes requests that were sent under the former limit.
	levelSince time.Time
	// answeredLately is cleared by each idle check.
	answeredLately bool
}

// add counts an answer. The usual time is learnt from a warm target only.
func (s *serviceTimes) add(took time.Duration, warm bool) {
	seconds := took.Seconds()
	s.answeredLately = true
	if s.recent == 0 {
		s.recent = seconds
	}
	s.deviation += recentWeight * (math.Abs(seconds-s.recent) - s.deviation)
	s.recent += recentWeight * (seconds - s.recent)
	if warm {
		s.learn()
	}
}

func (s *serviceTimes) learn() {
	s.answers++
	if s.usual == 0 {
		s.usual = s.recent
	}
	weight := usualWeight
	switch {
	case s.answers < firstAnswers:
		weight = 1 / float64(s.answers)
	case s.recent > unusualFactor*s.usual:
		weight = unusualWeight
	}
	s.usual += weight * (s.recent - s.usual)
}

// atLeast counts a request that was given up unanswered after some time. Left
// out, only the quick answers of a slow target would be measured.
func (s *serviceTimes) atLeast(took time.Duration) {
	if took.Seconds() > s.recent {
		s.add(took, false)
	}
}

// likely returns the time within which most requests are answered.
func (s *serviceTimes) likely() time.Duration {
	return seconds(s.recent + likelyDeviations*s.deviation)
}

// hold counts the time for which a slot was held.
func (s *serviceTimes) hold(took time.Duration) {
	if s.holding == 0 {
		s.holding = took.Seconds()
	}
	s.holding += recentWeight * (took.Seconds() - s.holding)
}

// known reports whether the usual time can be relied on.
func (s *serviceTimes) known() bool { return s.answers >= firstAnswers }

// goodTime returns the time up to which an answer is in good time, or 0 if that
// is not known. declared is the manifest's value, 0 for none.
func (s *serviceTimes) goodTime(declared time.Duration) time.Duration {
	if declared > 0 {
		return declared
	}
	if !s.known() {
		return 0
	}
	return seconds(goodFactor * max(s.usual, s.level))
}

// measureLevel counts an answer that was given at the cold-start slots after
// slow answers. The recent mean starts again from the level, so that the times
// of before do not lower the limit once more.
func (s *serviceTimes) measureLevel(sentAt time.Time, took time.Duration) {
	if s.levelAnswers == 0 || sentAt.Before(s.levelSince) {
		return
	}
	s.levelSum += took.Seconds()
	s.levelAnswers--
	if s.levelAnswers == 0 {
		s.level = s.levelSum / levelAnswers
		s.recent = s.level
	}
}

// forgetLevel ends the measurement of a level, or its use.
func (s *serviceTimes) forgetLevel() { s.level, s.levelSum, s.levelAnswers = 0, 0, 0 }

// beginLevel starts to measure the level.
func (s *serviceTimes) beginLevel(now time.Time) {
	s.forgetLevel()
	s.levelAnswers, s.levelSince = levelAnswers, now
}

// recovered reports whether the target answers in its usual time again.
func (s *serviceTimes) recovered() bool {
	return s.level > 0 && s.recent <= unusualFactor*s.usual
}

// slow reports whether the recent mean is far above the good time.
func (s *serviceTimes) slow(declared time.Duration) bool {
	good := s.goodTime(declared)
	return good > 0 && seconds(s.recent) > time.Duration(slowFactor*float64(good))
}

// speed returns the target's recent speed relative to its own usual speed.
func (s *serviceTimes) speed() float64 {
	if !s.known() || s.recent == 0 {
		return 1
	}
	return min(s.usual/s.recent, maxSpeed)
}

// recoverIdle is called each second. Without answers the recent mean returns to
// the usual time step by step, so that a target from which all work was moved
// away gets some back.
func (s *serviceTimes) recoverIdle() {
	if !s.answeredLately && s.known() {
		s.recent += idleRecovery * (s.usual - s.recent)
	}
	s.answeredLately = false
}

// reset forgets the recent times, as after a restart of the target.
func (s *serviceTimes) reset() {
	s.recent = s.usual
	s.forgetLevel()
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
