package events

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const (
	repositoryRoot = "../../.."
	cataloguePage  = repositoryRoot + "/docs/EVENTS.md"
)

// TestCataloguePage keeps docs/EVENTS.md in step with the code.
func TestCataloguePage(t *testing.T) {
	expected := cataloguePageText()
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(cataloguePage, []byte(expected), 0o644))
	}
	page, err := os.ReadFile(cataloguePage)
	assert.NilError(t, err)
	assert.Equal(t, string(page), expected, "run: go test ./internal/process/events -update")
}

func cataloguePageText() string {
	var page strings.Builder
	page.WriteString("# Events\n\n" +
		"Every log line of the daemon is a JSON object with `event` (the number) and `name`.\n" +
		"Numbers are never reused. The table is written from the code by\n" +
		"`go test ./internal/process/events -update`.\n\n" +
		"| event | name | level | meaning |\n|---|---|---|---|\n")
	for _, event := range All() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", event.Number, event.Name, event.Level, event.Meaning)
	}
	return page.String()
}

// TestEveryEventIsLogged finds events that no code logs.
func TestEveryEventIsLogged(t *testing.T) {
	used := usedEvents(t)
	for _, name := range declaredEvents(t) {
		assert.Check(t, used[name], "no code logs events.%s", name)
	}
}

// declaredEvents returns the names of the variables that register initialises.
func declaredEvents(t *testing.T) []string {
	var names []string
	eachGoFile(t, ".", func(file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.ValueSpec)
			if !ok || len(spec.Values) != 1 {
				return true
			}
			call, ok := spec.Values[0].(*ast.CallExpr)
			if !ok {
				return true
			}
			if function, ok := call.Fun.(*ast.Ident); ok && function.Name == "register" {
				names = append(names, spec.Names[0].Name)
			}
			return true
		})
	})
	return names
}

// usedEvents returns the names of package events that other packages use.
func usedEvents(t *testing.T) map[string]bool {
	used := map[string]bool{}
	eachGoFile(t, repositoryRoot, func(file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			selector, ok := node.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if from, ok := selector.X.(*ast.Ident); ok && from.Name == "events" {
				used[selector.Sel.Name] = true
			}
			return true
		})
	})
	return used
}

// eachGoFile calls visit with each Go file below root except tests.
func eachGoFile(t *testing.T, root string, visit func(*ast.File)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		visit(file)
		return nil
	})
	assert.NilError(t, err)
}
