package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// binaries are the programs that tests start.
type binaries struct {
	daemon, tool, store, target string
}

const module = "github.com/chestnutcourse/chestnutcourse/"

// buildOnce builds the programs once per test process.
var buildOnce = sync.OnceValues(func() (binaries, error) {
	dir, err := os.MkdirTemp("", "chestnutcourse-programs-")
	if err != nil {
		return binaries{}, err
	}
	build := exec.Command("go", "build", "-o", dir+string(os.PathSeparator),
		module+"cmd/chestnutcoursed", module+"cmd/chestnutctl",
		module+"internal/testutil/cmd/storestub", module+"internal/testutil/cmd/faketarget")
	if output, err := build.CombinedOutput(); err != nil {
		return binaries{}, fmt.Errorf("build of the programs under test: %w\n%s", err, output)
	}
	return binaries{
		daemon: filepath.Join(dir, "chestnutcoursed"), tool: filepath.Join(dir, "chestnutctl"),
		store: filepath.Join(dir, "storestub"), target: filepath.Join(dir, "faketarget"),
	}, nil
})

func programs(t testing.TB) binaries {
	t.Helper()
	built, err := buildOnce()
	assert.NilError(t, err)
	return built
}

// DaemonPath returns the path of chestnutcoursed, built from this tree.
func DaemonPath(t testing.TB) string { return programs(t).daemon }

// ToolPath returns the path of chestnutctl, built from this tree.
func ToolPath(t testing.TB) string { return programs(t).tool }

// Main runs the tests of a package and removes the programs that they built.
// A package that starts clusters calls it from TestMain.
func Main(m *testing.M) {
	code := m.Run()
	if built, err := buildOnce(); err == nil {
		_ = os.RemoveAll(filepath.Dir(built.daemon))
	}
	os.Exit(code)
}
