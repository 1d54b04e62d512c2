package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// outdatedRetryAfter is the retry delay suggested to a caller whose access key is unknown to
// a VM that may lack the latest configuration: one interval of the leader's heartbeats.
const outdatedRetryAfter = 250 * time.Millisecond

var (
	// errUnknownKey: the access key is certainly unknown.
	errUnknownKey = errors.New("the access key is unknown")
	// errUncertainKey: the access key is unknown to this VM, which may lack the latest
	// configuration.
	errUncertainKey = errors.New("the access key is unknown, and this VM may lack the latest configuration")
)

// identify finds the team of the caller by the latest configuration. The error is
// errUnknownKey or errUncertainKey if the request must not be sent by it.
func (x *exchange) identify() error {
	if x.isAllowed(x.handler.config.View().Config) {
		return nil
	}
	// Current is asked before the view is read again: a key is certainly unknown if it is
	// missing in a view that is at least as recent as Current's answer.
	current := x.handler.config.Current()
	switch {
	case x.isAllowed(x.handler.config.View().Config):
		return nil
	case current:
		return errUnknownKey
	}
	return errUncertainKey
}

// isAllowed reports whether a configuration allows the request, and sets its team. The result
// is kept for the last configuration that allowed it.
func (x *exchange) isAllowed(config *fleet.Config) bool {
	if config == x.allowedBy {
		return true
	}
	x.team = nil
	if config.HasTeams() {
		x.team = config.TeamOf(x.handler.config.Dialect.AccessKey(x.r.Header))
		if x.team == nil && !x.isPublic(config) {
			x.allowedBy = nil
			return false
		}
	}
	x.allowedBy = config
	return true
}

// isPublic reports whether the request needs no access key.
func (x *exchange) isPublic(config *fleet.Config) bool {
	if route := config.Match(x.r.Host, x.r.URL.Path); route != nil {
		return route.Public
	}
	return x.route.Public
}

// respondUnidentified responds to a request that was not sent for want of a valid access key.
// cause is the error of identify. If an earlier attempt may have run, the response does not
// promise that the request did not.
func (x *exchange) respondUnidentified(cause error) {
	switch {
	case x.mayHaveRun != nil:
		x.respondMayHaveRun(*x.mayHaveRun)
	case cause == errUnknownKey:
		x.handler.config.Dialect.AskForAccessKey(x.w.Header())
		x.respondError(http.StatusUnauthorized, "unknown-key")
	default:
		x.refuse("outdated-configuration", outdatedRetryAfter)
	}
}

// teamName returns the name of the caller's team; empty if it has none.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// countTeam counts the request for its team.
func (x *exchange) countTeam(result string) {
	config := x.allowedBy
	if config == nil {
		config = x.view.Config
	}
	x.handler.metrics.teamResult(config, x.team, result)
}
