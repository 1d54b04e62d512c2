// Package measure keeps figures that depend on the speed of the machine apart
// from verdicts that do not. Measurements run, and bounds on time are checked,
// only when the environment asks for it, so that a busy machine gives the same
// verdict as an idle one.
package measure

import (
	"os"
	"testing"
)

// Variable names the environment variable that asks for measurements.
const Variable = "CHESTNUTCOURSE_MEASURE"

// Enabled reports whether measurements were asked for.
func Enabled() bool { return os.Getenv(Variable) != "" }

// Need skips a test that does nothing but measure for a long time.
func Need(t testing.TB) {
	t.Helper()
	if !Enabled() {
		t.Skip("a long measurement; set " + Variable + "=1 to run it")
	}
}

// Bound checks a bound that a busy machine may miss: when measurements were
// asked for it fails the test, otherwise it only logs.
func Bound(t testing.TB, holds bool, format string, args ...any) {
	t.Helper()
	switch {
	case holds:
	case Enabled():
		t.Errorf("bound missed: "+format, args...)
	default:
		t.Logf("bound missed, not judged in this run: "+format, args...)
	}
}
