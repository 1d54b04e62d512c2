package loadtool

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
)

// keySource draws keys by Zipf's law.
type keySource struct {
	prefix string
	random *rand.Rand
	// cumulative holds the share of the keys up to each rank.
	cumulative []float64
}

func newKeySource(spec *Spec) *keySource {
	source := &keySource{prefix: spec.KeyPrefix, random: rand.New(rand.NewPCG(spec.Seed, 0)), cumulative: make([]float64, spec.Keys)}
	sum := 0.0
	for rank := range source.cumulative {
		sum += math.Pow(float64(rank+1), -spec.Skew)
		source.cumulative[rank] = sum
	}
	for rank := range source.cumulative {
		source.cumulative[rank] /= sum
	}
	return source
}

// next draws a key.
func (k *keySource) next() string {
	rank := sort.SearchFloat64s(k.cumulative, k.random.Float64())
	return k.prefix + strconv.Itoa(min(rank, len(k.cumulative)-1))
}
