package faketarget

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
)

// journalSuffix ends the names of journal files.
const journalSuffix = ".journal"

// journal writes the starts of executions to a file, one JSON line each.
type journal struct{ file *os.File }

// openJournal opens the journal of one incarnation; an empty folder means none.
func openJournal(folder, incarnation string) (*journal, error) {
	if folder == "" {
		return nil, nil
	}
	name := strings.ReplaceAll(incarnation, string(os.PathSeparator), "-") + journalSuffix
	file, err := os.OpenFile(filepath.Join(folder, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &journal{file: file}, nil
}

// write notes an execution before it runs. Without a journal it does nothing.
func (j *journal) write(execution *Execution) error {
	if j == nil {
		return nil
	}
	line, err := json.Marshal(execution)
	if err != nil {
		return err
	}
	_, err = j.file.Write(append(line, '\n'))
	return err
}

// ReadJournals returns the executions of all incarnations that wrote to a
// folder. The end of an execution is not in a journal.
func ReadJournals(folder string) ([]Execution, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*"+journalSuffix))
	if err != nil {
		return nil, err
	}
	var all []Execution
	for _, path := range paths {
		executions, err := readJournal(path)
		if err != nil {
			return nil, err
		}
		all = append(all, executions...)
	}
	return all, nil
}

func readJournal(path string) ([]Execution, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var executions []Execution
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var execution Execution
		if err := json.Unmarshal(lines.Bytes(), &execution); err != nil {
			return nil, err
		}
		executions = append(executions, execution)
	}
	return executions, lines.Err()
}
