package quota

import "time"

// window counts requests over a sliding window. Times are relative to a fixed origin.
type window struct {
	length, step time.Duration
	// counts is a ring of buckets by their numbers: those of the window and those of the
	// travelTime after it. next is the number after the last of them, oldest that of the
	// first.
	counts       []int32
	oldest, next int64
	sum          int
}

func newWindow(length time.Duration) window {
	step := (length + windowBuckets - 1) / windowBuckets
	size := int64(windowBuckets) + int64(travelTime/step) + 3
	return window{length: step * windowBuckets, step: step, counts: make([]int32, size), next: size}
}

// bucket returns the number of the bucket that contains a time: 0 for the one that is a
// window before the origin.
func (w *window) bucket(at time.Duration) int64 {
	return int64((at + w.length) / w.step)
}

// advance drops the buckets whose end has left the window.
func (w *window) advance(now time.Duration) {
	oldest := w.bucket(now - w.length)
	if oldest-w.oldest >= int64(len(w.counts)) {
		clear(w.counts)
		w.sum = 0
	}
	for ; w.sum > 0 && w.oldest < oldest; w.oldest++ {
		slot := &w.counts[w.oldest%int64(len(w.counts))]
		w.sum -= int(*slot)
		*slot = 0
	}
	w.oldest = max(w.oldest, oldest)
	w.next = w.oldest + int64(len(w.counts))
}

// holds reports whether the window has a bucket.
func (w *window) holds(bucket int64) bool { return bucket >= w.oldest && bucket < w.next }

func (w *window) add(bucket int64) {
	if w.holds(bucket) {
		w.counts[bucket%int64(len(w.counts))]++
		w.sum++
	}
}

func (w *window) remove(bucket int64) {
	if w.holds(bucket) && w.counts[bucket%int64(len(w.counts))] > 0 {
		w.counts[bucket%int64(len(w.counts))]--
		w.sum--
	}
}

// leaves returns the time by which a number of requests have left the window. Beyond the
// requests that it holds, it goes on at the rate at which these would leave.
func (w *window) leaves(number int, now time.Duration) time.Duration {
	left := 0
	for bucket := w.oldest; w.sum > 0 && bucket < w.next; bucket++ {
		if left += int(w.counts[bucket%int64(len(w.counts))]); left >= number {
			// A bucket is dropped one window after its end.
			return max(time.Duration(bucket+1)*w.step, now+w.step)
		}
	}
	return now + w.length
}

// copyOf returns a copy with its own buckets.
func copyOf(w window) window {
	w.counts = append([]int32(nil), w.counts...)
	return w
}
