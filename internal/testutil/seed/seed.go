// Package seed fixes the seed of the randomised tests, so that every run gives
// the same verdict. A test file that uses rapid or a random source imports it.
package seed

import (
	"flag"
	"math/rand/v2"
	"strconv"

	// rapid registers the flag that init sets.
	_ "pgregory.net/rapid"
)

// Value is the seed of all randomised tests; -rapid.seed overrides it for rapid.
const Value = 20261204

func init() {
	if err := flag.Set("rapid.seed", strconv.Itoa(Value)); err != nil {
		panic("seed: rapid no longer has the flag rapid.seed: " + err.Error())
	}
}

// Rand returns a random source with the fixed seed; stream tells sources of one
// test apart.
func Rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(Value, stream))
}
