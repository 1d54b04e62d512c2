package admission

import "github.com/chestnutcourse/chestnutcourse/internal/version/fleet"

// Fair queueing between teams addresses a load in which one team sends far more than the
// others. The waiting requests of a priority are served by their turns (start-time fair
// queueing): each turn of a team lies behind its former one by the team's turn cost, and a
// team that has not waited begins at the turn that is being served. So teams that wait are
// served in inverse proportion to their turn costs, and one that sends little waits for about
// one request of each other team.

// maxTurnCost bounds the ratio of the shares of two teams, so that a team with a very low rate
// gets turns as well.
const maxTurnCost = 1000

// turnCosts returns the turn costs of the teams of a configuration; nil without teams. A team
// is entitled to the rate that it is limited to, so its turn cost is inversely proportional to
// it. With equal shares a large team would get less than it is entitled to while small ones
// exceed their rates. A team without a limit has the share of the largest team.
func turnCosts(config *fleet.Config) map[string]float64 {
	if !config.HasTeams() {
		return nil
	}
	largest := 0.0
	for i := range config.Teams {
		largest = max(largest, config.Teams[i].Rate)
	}
	costs := make(map[string]float64, len(config.Teams))
	for i := range config.Teams {
		team := &config.Teams[i]
		costs[team.Name] = 1
		if team.Rate > 0 {
			costs[team.Name] = min(largest/team.Rate, maxTurnCost)
		}
	}
	return costs
}

// turnCost returns the turn cost of a team; 0 without teams. Requests that have no team, or
// one that this broker does not know, share the turns of the team with the highest cost.
func (b *Broker) turnCost(team string) float64 {
	if b.turnCosts == nil {
		return 0
	}
	if cost, ok := b.turnCosts[team]; ok {
		return cost
	}
	highest := 1.0
	for _, cost := range b.turnCosts {
		highest = max(highest, cost)
	}
	return highest
}

// rotation holds the turns of the teams that wait in a queue. The zero value is that of a
// queue without teams.
type rotation struct {
	// following holds the turn after the last one of each team.
	following map[turnKey]float64
	// reached is the latest turn that has been served, by priority.
	reached map[int]float64
}

// turnKey identifies the requests that share turns.
type turnKey struct {
	priority int
	team     string
}

func turnKeyOf(r *Request) turnKey { return turnKey{r.Priority, r.Team} }

// sameTurns reports whether two requests share turns.
func sameTurns(a, b *Request) bool { return turnKeyOf(a) == turnKeyOf(b) }

// reset forgets the turns of a queue that is empty.
func (t *rotation) reset() {
	clear(t.following)
	clear(t.reached)
}

// next returns the turn of the next request of a team.
func (t *rotation) next(r *Request) float64 {
	if r.turnCost == 0 {
		return 0
	}
	return max(t.reached[r.Priority], t.following[turnKeyOf(r)])
}

// queued records that a request has been queued at its turn.
func (t *rotation) queued(r *Request) {
	if t.following == nil {
		t.following, t.reached = map[turnKey]float64{}, map[int]float64{}
	}
	t.following[turnKeyOf(r)] = r.turn + r.turnCost
}

// withdrawn gives back the last turn of a team.
func (t *rotation) withdrawn(r *Request) { t.following[turnKeyOf(r)] = r.turn }

// served records that a request is served.
func (t *rotation) served(r *Request) {
	if r.turnCost > 0 && r.turn > t.reached[r.Priority] {
		t.reached[r.Priority] = r.turn
	}
}
