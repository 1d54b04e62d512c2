package keyspace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
)

// BenchmarkPlan measures a plan while the demand for one key exceeds the capacity of
// any owner and a set of hot keys moves. The leader plans four times a second.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{14, 99, 1600} {
		b.Run(fmt.Sprint(count, " owners"), func(b *testing.B) {
			list := owners(count)
			w := &cluster{}
			w.apply(keyspace.Initial(list))
			w.settle()
			demand := func(set int) func(int) float64 {
				return withHotKey(700, 10, busySet(set, 0.5, 0.8*float64(count)/fleet.Keys))
			}
			for i := range 8 {
				w.planRounds(4, list, demand(5000+i*3000))
			}
			load := loadOf(time.Now(), demand(40000))
			b.ResetTimer()
			for range b.N {
				load.Fade(time.Now())
				keyspace.Plan(w.slices, list, load)
			}
		})
	}
}
