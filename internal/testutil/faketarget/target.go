package faketarget

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
)

// Target is a fake target; it is an http.Handler.
type Target struct {
	mux     *http.ServeMux
	journal *journal

	mu       sync.Mutex
	settings Settings
	random   *rand.Rand
	grants   grants
	record   Record
	// warmAnswers counts answers since the target last turned cold.
	warmAnswers int
	answers     int
	running     int
	slotFreed   *sync.Cond
}

// New returns a target with the settings. It fails if the journal cannot be opened.
func New(settings Settings) (*Target, error) {
	opened, err := openJournal(settings.Journal, settings.Incarnation)
	if err != nil {
		return nil, err
	}
	t := &Target{
		mux: http.NewServeMux(), journal: opened, settings: settings,
		random: rand.New(rand.NewPCG(settings.Seed, 0)),
		record: Record{Refused: map[string]int{}},
	}
	t.slotFreed = sync.NewCond(&t.mu)
	t.mux.HandleFunc("POST "+target.PathGrant, t.serveGrant)
	t.mux.HandleFunc("POST "+target.PathRevoke, t.serveRevoke)
	t.mux.HandleFunc("GET "+target.PathHealth, t.serveHealth)
	t.mux.HandleFunc("GET "+PathRecord, t.serveRecord)
	t.mux.HandleFunc("GET "+PathSettings, t.serveSettings)
	t.mux.HandleFunc("POST "+PathSettings, t.changeSettings)
	t.mux.HandleFunc("/", t.serveRequest)
	return t, nil
}

// ServeHTTP serves control, test and ordinary requests.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Record returns what the target has seen.
func (t *Target) Record() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.record.clone()
	record.Cold = t.isCold()
	return record
}

// Change applies a change to the settings.
func (t *Target) Change(change func(*Settings)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.settings
	change(&t.settings)
	if t.settings.Incarnation != before.Incarnation {
		t.grants = grants{}
	}
	if t.settings.Incarnation != before.Incarnation || t.settings.Cold.Round != before.Cold.Round {
		t.warmAnswers = 0
	}
	if t.settings.Leaving && !before.Leaving {
		t.record.LeavingSince = time.Now()
	}
	t.slotFreed.Broadcast()
}

// isCold reports whether the target is cold; the lock is held.
func (t *Target) isCold() bool { return t.warmAnswers < t.settings.Cold.Answers }

func (t *Target) serveGrant(w http.ResponseWriter, r *http.Request) {
	var grant target.Grant
	if err := json.NewDecoder(r.Body).Decode(&grant); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	reply := t.grants.accept(grant, t.settings.Incarnation, time.Now())
	t.mu.Unlock()
	t.reply(w, reply)
}

func (t *Target) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var revocation target.Revocation
	if err := json.NewDecoder(r.Body).Decode(&revocation); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	t.grants.revoke(revocation)
	t.mu.Unlock()
	t.reply(w, struct{}{})
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	health := target.Health{
		Incarnation: t.settings.Incarnation, Ready: true, Leaving: t.settings.Leaving,
		Load: float64(t.record.Inside) / float64(max(t.settings.Slots, 1)),
	}
	t.mu.Unlock()
	t.reply(w, health)
}

func (t *Target) serveRecord(w http.ResponseWriter, _ *http.Request) { t.reply(w, t.Record()) }

func (t *Target) serveSettings(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	settings := t.settings
	t.mu.Unlock()
	t.reply(w, settings)
}

func (t *Target) changeSettings(w http.ResponseWriter, r *http.Request) {
	var failure error
	t.Change(func(s *Settings) { failure = json.NewDecoder(r.Body).Decode(s) })
	if failure != nil {
		http.Error(w, failure.Error(), http.StatusBadRequest)
		return
	}
	t.serveSettings(w, r)
}

// reply writes a JSON answer with the target's incarnation.
func (t *Target) reply(w http.ResponseWriter, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	t.mu.Lock()
	incarnation := t.settings.Incarnation
	t.mu.Unlock()
	setIncarnation(w.Header(), incarnation)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func setIncarnation(header http.Header, incarnation string) {
	if incarnation != "" {
		header.Set(target.HeaderIncarnation, incarnation)
	}
}
