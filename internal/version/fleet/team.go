package fleet

import (
	"crypto/rand"
	"crypto/sha256"
)

const (
	// MaxTeamPriority bounds the priority of a team, so that the priority of a request
	// fits into the 32 bits that it has in messages.
	MaxTeamPriority = 1 << 20
	// routePriorities is the number of priorities of routes that are told apart within
	// the priority of a team.
	routePriorities = 1000
)

// keyDigest is the salted digest of an access key.
type keyDigest [sha256.Size]byte

// digestSalt differs between processes. Callers cannot compute the digests of their
// guesses, so the time of a lookup by digest tells them nothing about the keys.
var digestSalt = func() (salt [sha256.Size]byte) {
	_, _ = rand.Read(salt[:]) // It never fails.
	return salt
}()

func digestOf(accessKey string) keyDigest {
	buffer := make([]byte, 0, 4*sha256.Size)
	buffer = append(append(buffer, digestSalt[:]...), accessKey...)
	return sha256.Sum256(buffer)
}

// indexTeams builds the lookup tables of Team and TeamOf.
func (c *Config) indexTeams() {
	c.teams, c.teamsByKey, c.leastUrgent = nil, nil, 0
	if len(c.Teams) == 0 {
		return
	}
	c.teams, c.teamsByKey = map[string]*Team{}, map[keyDigest]*Team{}
	for i := range c.Teams {
		team := &c.Teams[i]
		c.teams[team.Name] = team
		c.leastUrgent = max(c.leastUrgent, team.Priority)
		for _, key := range team.AccessKeys {
			digest := digestOf(key)
			if other, used := c.teamsByKey[digest]; used && other != team {
				c.teamsByKey[digest] = nil
			} else if key != "" {
				c.teamsByKey[digest] = team
			}
		}
	}
}

// HasTeams reports whether requests to routes that are not public need an access key.
func (c *Config) HasTeams() bool { return len(c.Teams)+len(c.InvalidTeams) > 0 }

// Team returns a team by name, or nil.
func (c *Config) Team(name string) *Team { return c.teams[name] }

// TeamOf returns the team of an access key; nil if the key is unknown or belongs to several
// teams. The time that it takes depends on the given key only.
func (c *Config) TeamOf(accessKey string) *Team { return c.teamsByKey[digestOf(accessKey)] }

// Priority returns the priority of requests of a team to a route. The priority of the team
// takes precedence over that of the route. Requests to public routes without a team have the
// priority of the least urgent team, so that they cannot displace those of teams.
func (c *Config) Priority(team *Team, route *Route) int {
	if !c.HasTeams() {
		return route.Priority
	}
	priority := c.leastUrgent
	if team != nil {
		priority = team.Priority
	}
	return min(max(priority, 0), MaxTeamPriority)*routePriorities + min(max(route.Priority, 0), routePriorities-1)
}
