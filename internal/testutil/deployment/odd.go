package deployment

import (
	"encoding/json"
	"fmt"
	"strings"
)

// oddEntry is an entry among those of the servers that no server has written.
type oddEntry struct{ spec, status any }

// oddEntries name no server to use. The store takes each of them.
func oddEntries() []oddEntry {
	deep := json.RawMessage(strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000))
	inService := map[string]any{"state": "in_service", "sequence": 1, "warmupLeft": "0ms"}
	at := func(address string, slots any) map[string]any {
		return map[string]any{"address": address, "born": 1, "info": map[string]any{"service": "free", "zone": "a", "maxConcurrency": slots}}
	}
	return []oddEntry{
		{deep, inService},
		{at("127.0.0.1:9", 2), deep},
		{at("127.0.0.1:99999", 2), inService},
		{at("127.0.0.1:0", 2), inService},
		{at("127.0.0.1:9", json.RawMessage("1e999")), inService},
		{at("127.0.0.1:9", int64(1)<<40), inService},
		{json.RawMessage(`{"address":"127.0.0.1:9","born":9223372036854775807,"info":{"service":"free","zone":"a","maxConcurrency":2}}`), inService},
		{json.RawMessage(`"` + strings.Repeat("x", 1<<20) + `"`), inService},
		{at("127.0.0.1:9", 2), map[string]any{"state": "in_service", "warmupLeft": "2000000h"}},
	}
}

// OddEntries is the number of odd entries.
var OddEntries = len(oddEntries())

// SetOddEntry writes the n-th odd entry and returns its name. Names are spread over those of
// the servers, so that the entries are not all on one page's end.
func (d *Deployment) SetOddEntry(n int) string {
	entry := oddEntries()[n]
	name := fmt.Sprintf("%c-odd-%d", 'a'+3*n%26, n)
	d.Store.Set("servers", name, entry.spec, entry.status)
	return name
}
