package forward_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// withTeams returns a copy of a view with a configuration of the next version that has the
// given teams. The route /safe/ is public.
func withTeams(view *fleet.View, teams ...fleet.Team) *fleet.View {
	config := *view.Config
	config.Version++
	config.Teams = teams
	config.Routes = append([]fleet.Route(nil), config.Routes...)
	for i := range config.Routes {
		config.Routes[i].Public = config.Routes[i].Prefix == "/safe/"
	}
	config.Index()
	next := *view
	next.Config = &config
	return &next
}

var (
	teamA = fleet.Team{Name: "team-a", AccessKeys: []string{"secret-a1", "secret-a2"}, Priority: 1}
	teamB = fleet.Team{Name: "team-b", AccessKeys: []string{"secret-b1"}, Priority: 3}
)

// connection sends requests over one connection to a fixture.
type connection struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fixture) connect(t *testing.T) *connection {
	conn, err := net.Dial("tcp", f.address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &connection{t, conn, bufio.NewReader(conn)}
}

// send sends a request with header lines and returns the status of the response and its
// headers.
func (c *connection) send(path, lines string) (int, http.Header) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n%s\r\n", path, lines)
	assert.NilError(c.t, err)
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	assert.NilError(c.t, response.Write(new(strings.Builder)))
	return response.StatusCode, response.Header
}

// TestIdentification checks who is served as which team, and what targets, permits, logs and
// counters get to know of it. It guards against a refused caller of a known key or public
// route, a 401 of a VM that may lack the key, a team's name that the caller has chosen, and an
// access key that leaves this VM or is written to its log.
func TestIdentification(t *testing.T) {
	const keyA, keyB = "Credential: secret-a2\r\n", "credential:  secret-b1 \r\n"
	for _, c := range []struct {
		name, path, lines string
		noTeams           bool
		outdated          bool
		status            int
		// team is the name that the target gets.
		team string
		// priority is that of the request for a permit; the priority of routes is 0.
		priority int
		label    string
	}{
		{name: "known key", path: "/once/", lines: keyA, status: 200, team: "team-a", priority: 1000, label: "team-a"},
		{name: "known key of another team", path: "/once/", lines: keyB, status: 200, team: "team-b", priority: 3000, label: "team-b"},
		{name: "known key, outdated VM", path: "/once/", lines: keyA, outdated: true, status: 200, team: "team-a", priority: 1000, label: "team-a"},
		{name: "no key", path: "/once/", status: 401, label: "none"},
		{name: "no key, outdated VM", path: "/once/", outdated: true, status: 503, label: "none"},
		{name: "unknown key", path: "/once/", lines: "Credential: secret-a\r\n", status: 401, label: "none"},
		{name: "unknown key, outdated VM", path: "/once/", lines: "Credential: secret-a\r\n", outdated: true, status: 503, label: "none"},
		{name: "empty key", path: "/once/", lines: "Credential:\r\n", status: 401, label: "none"},
		{name: "two keys", path: "/once/", lines: keyA + keyB, status: 401, label: "none"},
		{name: "a name without a key", path: "/once/", lines: "Tenant-Name: team-a\r\n", status: 401, label: "none"},
		{name: "another team's name", path: "/once/", lines: keyA + "Tenant-Name: team-b\r\ntenant-name: x\r\ntenant_name: y\r\n", status: 200, team: "team-a", priority: 1000, label: "team-a"},
		{name: "headers of the connection", path: "/once/", lines: keyA + "Connection: Credential, Tenant-Name\r\n", status: 200, team: "team-a", priority: 1000, label: "team-a"},
		{name: "public route", path: "/safe/", lines: "Tenant-Name: team-b\r\n", status: 200, priority: 3000, label: "none"},
		{name: "public route, unknown key", path: "/safe/", lines: "Credential: secret-a\r\n", status: 200, priority: 3000, label: "none"},
		{name: "public route, known key", path: "/safe/", lines: keyA, status: 200, team: "team-a", priority: 1000, label: "team-a"},
		{name: "no teams", path: "/once/", lines: keyA + "Tenant-Name: x\r\n", noTeams: true, status: 200, team: "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFixture(t, "")
			f.current.Store(!c.outdated)
			if !c.noTeams {
				f.latest.Store(withTeams(f.view, teamA, teamB))
			}
			var asked admission.Request
			f.beforePermit = func(r admission.Request) { asked = r }
			status, header := f.connect(t).send(c.path, c.lines)
			assert.Equal(t, status, c.status)
			assert.Equal(t, header.Get("WWW-Authenticate") != "", c.status == 401)
			assert.Equal(t, header.Get("Retry-After") != "", c.status == 503)
			if c.status == 200 {
				assert.Equal(t, strings.Join(f.runs()[0].Header["Tenant-Name"], "|"), c.team)
				assert.Equal(t, len(f.runs()[0].Header["Credential"]) > 0, c.noTeams)
				assert.Equal(t, len(f.runs()[0].Header["Tenant_name"]), 0)
				assert.Equal(t, asked.Priority, c.priority)
			} else {
				assert.Equal(t, len(f.runs()), 0)
			}
			assert.Check(t, !strings.Contains(f.log.String(), "secret"), f.log.String())
			labels := ""
			for _, counter := range f.metrics.Snapshot().Counters() {
				assert.Check(t, !strings.Contains(fmt.Sprint(counter.Name(), counter.Tags()), "secret"))
				if counter.Name() == "team_requests" {
					labels += counter.Tags()["team"]
				}
			}
			assert.Equal(t, labels, c.label)
			if !c.noTeams {
				assert.Equal(t, asked.Team, c.team)
				assert.Equal(t, strings.Contains(f.log.String(), `"team":"`+c.team+`"`), c.team != "")
			}
		})
	}
}

// TestWithdrawnKey withdraws a key while a caller uses it. It guards against a key that goes
// on working on an open connection, for a request that waits for a permit or for its next
// attempt, and against a response which says that a request has not run although it may have.
func TestWithdrawnKey(t *testing.T) {
	for _, c := range []struct {
		name, fault, path string
		// attempt is the request for a permit during which the key is withdrawn; 0 means
		// between two requests of the caller.
		attempt        int
		outdated, back bool
		status         int
		runs           int
	}{
		{name: "open connection", path: "/once/", status: 401, runs: 1},
		{name: "open connection, outdated VM", path: "/once/", outdated: true, status: 503, runs: 1},
		{name: "waiting", path: "/once/", attempt: 1, status: 401},
		{name: "waiting, outdated VM", path: "/once/", attempt: 1, outdated: true, status: 503},
		{name: "waiting, moved to another team", path: "/once/", attempt: 1, back: true, status: 200, runs: 1},
		{name: "after an attempt that did not run", fault: "refuse", path: "/once/", attempt: 2, status: 401},
		{name: "after an attempt that may have run", fault: "reset", path: "/download/", attempt: 2, status: 502, runs: 1},
		{name: "after an attempt that may have run, outdated VM", fault: "reset", path: "/download/", attempt: 2, outdated: true, status: 502, runs: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFixture(t, c.fault, "")
			f.current.Store(!c.outdated)
			f.latest.Store(withTeams(f.view, teamA, teamB))
			withdraw := func() {
				left, other := teamA, teamB
				left.AccessKeys = left.AccessKeys[1:]
				if c.back {
					other.AccessKeys = append(other.AccessKeys, teamA.AccessKeys[0])
				}
				f.latest.Store(withTeams(f.latest.Load(), left, other))
			}
			asked := 0
			f.beforePermit = func(admission.Request) {
				if asked++; asked == c.attempt {
					withdraw()
				}
			}
			connection := f.connect(t)
			if c.attempt == 0 {
				status, _ := connection.send(c.path, "Credential: secret-a1\r\n")
				assert.Equal(t, status, 200)
				withdraw()
			}
			status, _ := connection.send(c.path, "Credential: secret-a1\r\n")
			assert.Equal(t, status, c.status)
			assert.Equal(t, len(f.runs()), c.runs)
			if c.back {
				assert.Equal(t, f.runs()[0].Header.Get("Tenant-Name"), "team-b")
			}
			if c.attempt > 0 && c.status != 200 {
				results := f.endResults()
				assert.Equal(t, results[len(results)-1], admission.Canceled)
			}
			assert.Check(t, !strings.Contains(f.log.String(), "secret"), f.log.String())
			status, _ = f.connect(t).send("/once/", "Credential: secret-a2\r\n")
			assert.Check(t, status == 200 || c.fault != "", "the team's other key got %d", status)
		})
	}
}

// TestTeamLabels checks that counters name the 20 largest teams. It guards against a series
// for each team that a configuration has ever had.
func TestTeamLabels(t *testing.T) {
	f := startFixture(t, "")
	names := func(prefix string, rate float64) (teams []fleet.Team) {
		for i := range 30 {
			teams = append(teams, fleet.Team{Name: fmt.Sprint(prefix, i), AccessKeys: []string{fmt.Sprint(prefix, "key", i)}, Rate: rate + float64(i)})
		}
		teams[0].Rate = 0
		return teams
	}
	for _, prefix := range []string{"old", "new"} {
		f.latest.Store(withTeams(f.latestView(), names(prefix, 100)...))
		for i := range 30 {
			status, _ := f.connect(t).send("/once/", fmt.Sprintf("Credential: %skey%d\r\n", prefix, i))
			assert.Equal(t, status, 200)
		}
	}
	counts := map[string]int64{}
	for _, counter := range f.metrics.Snapshot().Counters() {
		if counter.Name() == "team_requests" {
			counts[counter.Tags()["team"]] = counter.Value()
		}
	}
	assert.Equal(t, len(counts), 21)
	assert.Equal(t, counts["other"], int64(40))
	assert.Equal(t, counts["old0"]+counts["old11"]+counts["old29"], int64(3))
}
