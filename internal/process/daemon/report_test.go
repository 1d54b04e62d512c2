package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

func TestCellsOfAreThoseThatNameTheVM(t *testing.T) {
	holder := func(vm string) assignment.Holder { return assignment.Holder{VM: vm} }
	cell := func(id string, r assignment.Rights) *routing.Cell {
		return &routing.Cell{Assignment: &assignment.Cell{ID: id, Targets: []assignment.Rights{r}}}
	}
	partners := assignment.Partners{Dispatcher: holder("a"), Backup: holder("b"), Witness: holder("c")}
	cells := map[string]*routing.Cell{
		"slots/0": cell("slots/0", assignment.Rights{Partners: partners}),
		"slots/1": cell("slots/1", assignment.Rights{Partners: assignment.Partners{Dispatcher: holder("d")}, Previous: &partners}),
	}
	m := &manifest.Manifest{Services: []manifest.Service{{Name: "slots", Cells: 3}}}
	snapshot := routing.New(m, 1, cells, nil)
	for _, vm := range []string{"a", "b", "c"} {
		assert.Equal(t, len(cellsOf(snapshot, vm)), 2, "%s is a partner in one cell and a previous partner in the other", vm)
	}
	assert.DeepEqual(t, cellsOf(snapshot, "d"), []string{"slots/1"})
	assert.Equal(t, len(cellsOf(snapshot, "e")), 0)
}
