// Package operators serves the operators' HTTP API: status, readiness,
// metrics, the manifest and its changes, and what is routed where.
//
// Reads are answered from the newest snapshot and work during an outage of the
// store. Changes are conditional writes: an accepted change names its version,
// a refused one its reason and the remedy, and one whose fate is unknown says
// so and may be repeated with the same operation id.
package operators

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/api/operatorv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/distribution"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

const (
	// maxBodyBytes bounds the body of a request; it leaves room around the
	// largest manifest.
	maxBodyBytes = 2 * store.MaxValueBytes
	// changeTimeout bounds a change, with the resolution of lost answers.
	changeTimeout = 10 * time.Second
	// statusTimeout bounds the collection of the VMs' status.
	statusTimeout = 5 * time.Second
)

// View is what the API shows of the node's configuration; package
// distribution provides it.
type View interface {
	Snapshot() *routing.Snapshot
	VMs() map[string]routing.VM
	PlatformVMs() map[string]distribution.PlatformState
	// StoreContactAge is negative if there was never a contact.
	StoreContactAge() time.Duration
	// Status collects where a version of the manifest is in force; 0 stands
	// for the version in force here.
	Status(ctx context.Context, version int64) (distribution.Status, error)
}

// Config is what the API needs.
type Config struct {
	Self routing.VM
	// Deployment is the deployment that manifests must be for.
	Deployment string
	View       View
	// Store is the way to the platform's store.
	Store store.Store
	// Ready reports whether the node takes new work, and if not, why.
	Ready func() (outcome.Reason, bool)
	// Loads returns what the services use now, to judge whether a change takes
	// out too much; nil means StoreLoads.
	Loads func(context.Context) ([]manifest.ServiceLoad, error)
	// Metrics serves the metrics, e.g. the handler of tally's Prometheus
	// reporter; nil serves none.
	Metrics http.Handler
	Logger  *zerolog.Logger
}

// API is the operators' HTTP API. It is an http.Handler.
type API struct {
	config    Config
	submitter Submitter
	started   time.Time
	app       *iris.Application
}

// New returns the API.
func New(config Config) (*API, error) {
	if config.Loads == nil {
		config.Loads = StoreLoads(config.Store)
	}
	a := &API{
		config: config, started: time.Now(), app: iris.New(),
		submitter: Submitter{Store: config.Store, Deployment: config.Deployment, Loads: config.Loads},
	}
	a.app.Logger().SetLevel("disable")
	a.app.Get(operatorv1.PathStatus, a.status)
	a.app.Get(operatorv1.PathReady, a.ready)
	a.app.Get(operatorv1.PathManifest, a.withSnapshot(a.manifest))
	a.app.Get(operatorv1.PathManifestStatus, a.manifestStatus)
	a.app.Get(operatorv1.PathRoutes, a.withSnapshot(a.routes))
	a.app.Get(operatorv1.PathTargets, a.withSnapshot(a.targets))
	a.app.Get(operatorv1.PathSlices, a.withSnapshot(a.slices))
	a.app.Post(operatorv1.PathManifest, a.submit)
	a.app.Post(operatorv1.PathDrain, a.drain(true))
	a.app.Post(operatorv1.PathRestore, a.drain(false))
	if config.Metrics != nil {
		a.app.Get(operatorv1.PathMetrics, iris.FromStd(config.Metrics))
	}
	a.app.OnAnyErrorCode(func(ctx iris.Context) {
		respondError(ctx, fault.New(fault.NotFound, "see docs/OPERATORS.md for the paths", "%s %s is not served (%s)",
			ctx.Method(), ctx.Path(), http.StatusText(ctx.GetStatusCode())))
	})
	if err := a.app.Build(); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "report this as a defect", "the operators' API cannot be built")
	}
	return a, nil
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.app.ServeHTTP(w, r) }

func (a *API) status(ctx iris.Context) {
	reason, ready := a.config.Ready()
	status := operatorv1.Status{
		VM: a.config.Self.Name, Incarnation: a.config.Self.Incarnation, FailureDomain: a.config.Self.FailureDomain,
		Deployment: a.config.Deployment, UptimeSeconds: int64(time.Since(a.started).Seconds()),
		Ready: ready, Reason: string(reason), StoreContactAgeMillis: -1, VMs: a.vms(),
	}
	if age := a.config.View.StoreContactAge(); age >= 0 {
		status.StoreContactAgeMillis = age.Milliseconds()
	}
	if snapshot := a.config.View.Snapshot(); snapshot != nil {
		status.ManifestVersion = snapshot.ManifestVersion
	}
	respond(ctx, http.StatusOK, status)
}

// vms lists the registered VMs by name.
func (a *API) vms() []operatorv1.VM {
	platform := a.config.View.PlatformVMs()
	rows := []operatorv1.VM{}
	for name, vm := range a.config.View.VMs() {
		rows = append(rows, operatorv1.VM{
			Name: name, Incarnation: vm.Incarnation, FailureDomain: vm.FailureDomain, PeerAddress: vm.PeerAddress,
			Leaving: vm.Leaving, Platform: string(platform[name]),
		})
	}
	slices.SortFunc(rows, func(a, b operatorv1.VM) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

func (a *API) ready(ctx iris.Context) {
	reason, ready := a.config.Ready()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	respond(ctx, status, operatorv1.Ready{Ready: ready, Reason: string(reason)})
}

// withSnapshot passes the newest snapshot to a handler, or refuses while there
// is none.
func (a *API) withSnapshot(handle func(iris.Context, *routing.Snapshot)) iris.Handler {
	return func(ctx iris.Context) {
		snapshot := a.config.View.Snapshot()
		if snapshot == nil {
			respondError(ctx, fault.New(fault.NotFound, "submit a manifest, or wait until this VM has reached the store or enough peers", "no manifest is in force on this VM"))
			return
		}
		handle(ctx, snapshot)
	}
}

func (a *API) manifest(ctx iris.Context, s *routing.Snapshot) {
	respond(ctx, http.StatusOK, operatorv1.Manifest{Version: s.ManifestVersion, Manifest: s.Manifest})
}

func (a *API) manifestStatus(ctx iris.Context) {
	version := int64(0)
	if text := ctx.URLParam(operatorv1.ParamVersion); text != "" {
		var err error
		if version, err = strconv.ParseInt(text, 10, 64); err != nil {
			respondError(ctx, fault.Wrap(err, fault.Invalid, "write a version as a whole number", "version %q cannot be read", text))
			return
		}
	}
	limited, cancel := context.WithTimeout(ctx.Request().Context(), statusTimeout)
	defer cancel()
	status, err := a.config.View.Status(limited, version)
	if err != nil && len(status.VMs) == 0 {
		respondError(ctx, fault.Wrap(err, fault.Unavailable, "try again", "the status could not be collected in time"))
		return
	}
	respond(ctx, http.StatusOK, status)
}

func (a *API) routes(ctx iris.Context, s *routing.Snapshot) {
	route, err := explainRoute(s, ctx.URLParam(operatorv1.ParamService), ctx.URLParam(operatorv1.ParamKey))
	if err != nil {
		respondError(ctx, err)
		return
	}
	respond(ctx, http.StatusOK, route)
}

func (a *API) targets(ctx iris.Context, s *routing.Snapshot) {
	respond(ctx, http.StatusOK, targetRows(s, ctx.URLParam(operatorv1.ParamService)))
}

func (a *API) slices(ctx iris.Context, s *routing.Snapshot) {
	respond(ctx, http.StatusOK, sliceRows(s, ctx.URLParam(operatorv1.ParamService)))
}

func (a *API) submit(ctx iris.Context) {
	var body operatorv1.Submission
	if !readBody(ctx, &body) {
		return
	}
	limited, cancel := context.WithTimeout(ctx.Request().Context(), changeTimeout)
	defer cancel()
	result, err := a.submitter.Submit(limited, body.OperationID, body.Manifest, body.Replaces, body.Force)
	a.respondChange(ctx, body.OperationID, result, err)
}

func (a *API) drain(drained bool) iris.Handler {
	return func(ctx iris.Context) {
		var body operatorv1.DrainRequest
		if !readBody(ctx, &body) {
			return
		}
		limited, cancel := context.WithTimeout(ctx.Request().Context(), changeTimeout)
		defer cancel()
		result, err := a.submitter.Drain(limited, body.OperationID, body.Scope, body.Name, drained, body.Force)
		a.respondChange(ctx, body.OperationID, result, err)
	}
}

// respondChange logs and answers the outcome of a change.
func (a *API) respondChange(ctx iris.Context, operationID string, result Result, err error) {
	switch {
	case err == nil:
		events.ManifestAccepted.Log(a.config.Logger).Int64("version", result.Version).Str("operation", operationID).Bool("repeated", result.Repeated).Send()
		respond(ctx, http.StatusOK, operatorv1.Accepted{Version: result.Version, Repeated: result.Repeated})
		return
	case fault.Is(err, fault.UnknownOutcome):
		events.ManifestUnknown.Log(a.config.Logger).Str("operation", operationID).Err(err).Send()
	default:
		events.ManifestRefused.Log(a.config.Logger).Str("operation", operationID).Err(err).Send()
	}
	respondError(ctx, err)
}

// readBody decodes a body strictly, or answers what is wrong with it.
func readBody(ctx iris.Context, body any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(body)
	if err == nil || errors.Is(err, io.EOF) {
		return true
	}
	respondError(ctx, fault.Wrap(err, fault.Invalid, "see docs/OPERATORS.md for the form of the request", "the request's body cannot be read"))
	return false
}

// statusOf maps the kinds of errors to HTTP statuses.
func statusOf(kind fault.Kind) int {
	switch kind {
	case fault.Invalid:
		return http.StatusUnprocessableEntity
	case fault.Conflict:
		return http.StatusConflict
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Refused:
		return http.StatusForbidden
	case fault.Unavailable:
		return http.StatusServiceUnavailable
	case fault.UnknownOutcome:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// respondError answers with a typed error.
func respondError(ctx iris.Context, err error) {
	body := operatorv1.Error{Kind: fault.UnknownOutcome, Message: err.Error(), Remedy: "read the manifest before repeating the change"}
	var typed *fault.Error
	if errors.As(err, &typed) {
		body = operatorv1.Error{Kind: typed.Kind, Message: typed.Message, Remedy: typed.Remedy}
		if typed.Cause != nil && !errors.As(err, &body.Problems) {
			body.Message += ": " + typed.Cause.Error()
		}
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		body.CurrentVersion = conflict.CurrentVersion
	}
	respond(ctx, statusOf(body.Kind), body)
}

func respond(ctx iris.Context, status int, body any) {
	ctx.StatusCode(status)
	ctx.ContentType("application/json")
	encoder := json.NewEncoder(ctx.ResponseWriter())
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}
