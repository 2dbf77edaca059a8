package front

import (
	"errors"
	"fmt"
	"net/http"

	"carawaymux.dev/entry/auth"
	"carawaymux.dev/entry/keys"
	"carawaymux.dev/entry/route"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/access"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
)

// authorizationScheme precedes a key in the header Authorization.
const authorizationScheme = "Bearer"

// unverifiedRetry is the Retry-After of a request whose key cannot be verified now, in seconds.
const unverifiedRetry = "1"

// audience is who may use a path once teams have keys. Until then, paths other than those of operators need no key.
type audience int

const (
	// callers are teams and operators. They need a key even if the settings allow access without keys.
	callers audience = iota
	// readers are teams, which see what is theirs, and operators.
	readers
	// operators are the owners of operator keys.
	operators
)

// teamHandler handles a request from a team. The team is empty for operators, and for everybody until teams have keys.
type teamHandler func(w http.ResponseWriter, r *http.Request, team string)

// admit returns a handler that refuses the requests of others than the audience.
func (f *Front) admit(who audience, next teamHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		team, verdict := f.identify(r, who)
		switch {
		case who == callers && f.Gate != nil && !f.Gate.IsConfigured():
			f.Metrics.Request("", wire.NotRun)
			setOutcomeHeaders(w, work.NotRun(route.ErrNoTable.Error()), f.settings.Name)
			f.writeError(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: route.ErrNoTable.Error()})
		case verdict == access.Unverified:
			w.Header().Set("Retry-After", unverifiedRetry)
			f.refuse(w, who, http.StatusServiceUnavailable, verdict.String(),
				"the key cannot be verified: the entry has not been able to read the log lately; send the request to another entry, or later")
		case verdict == access.Unauthorized:
			w.Header().Set("WWW-Authenticate", authorizationScheme)
			f.refuse(w, who, http.StatusUnauthorized, verdict.String(), "a valid key is required in the header Authorization: Bearer KEY")
		case who == operators && team != "":
			f.refuse(w, who, http.StatusForbidden, "forbidden", "the key of a team does not give access to this path")
		default:
			next(w, r, team)
		}
	})
}

// errAccessEnded reports that a request is not admitted any more.
var errAccessEnded = errors.New("the key of the request is not accepted any more")

// checkStillAdmitted returns an error if a request that was admitted would not be now. What a request reads after a wait is shown only
// then: a key may have been revoked, and an entry that starts learns only then that keys are needed.
func (f *Front) checkStillAdmitted(r *http.Request, who audience, team string) error {
	if now, verdict := f.identify(r, who); verdict != access.Allowed || now != team {
		return errAccessEnded
	}
	return nil
}

// operatorsRead is [Front.admit] for paths on which operators read.
func (f *Front) operatorsRead(next http.HandlerFunc) http.Handler {
	return f.admit(operators, func(w http.ResponseWriter, r *http.Request, _ string) { next(w, r) })
}

// refuse answers a request that is not admitted. Callers learn that it has not run.
func (f *Front) refuse(w http.ResponseWriter, who audience, status int, verdict, reason string) {
	f.Metrics.WithoutAccess(verdict)
	if who == callers {
		setOutcomeHeaders(w, work.NotRun(reason), f.settings.Name)
	}
	f.writeError(w, status, wire.ErrorBody{Error: reason})
}

// identify returns the team whose key a request has, and whether the key gives access.
func (f *Front) identify(r *http.Request, who audience) (team string, verdict access.Verdict) {
	if f.Gate == nil {
		return "", access.Allowed
	}
	key := auth.PresentedKey(r, authorizationScheme)
	d := f.Gate.Decide(key, false)
	if d.Verdict == access.Allowed {
		return d.Tenant, access.Allowed
	}
	// Without a key, a request is an operator's only if the settings allow that.
	if key != "" {
		if id, known := f.Keys.Identify(r); known && id.Role == keys.Operator {
			return "", access.Allowed
		}
	} else if who != callers && f.Keys.Allows(r, keys.Operator) {
		return "", access.Allowed
	}
	return "", d.Verdict
}

// refuseForeignKind refuses to show a team objects other than jobs, and reports whether it did.
func (f *Front) refuseForeignKind(w http.ResponseWriter, r *http.Request, team string) bool {
	if team == "" || record.Kind(r.PathValue("kind")) == record.KindJob {
		return false
	}
	f.refuse(w, readers, http.StatusForbidden, "forbidden", "the key of a team shows only the team's jobs")
	return true
}

// publishOwn appends a record of a team. Teams may cancel their jobs, and nothing else.
func (f *Front) publishOwn(w http.ResponseWriter, r *http.Request, team string) {
	raw, err := readBody(r.Context(), w, r, record.MaxBytes)
	if err != nil {
		f.handleError(w, err)
		return
	}
	rec, err := decodeRecord(r, raw)
	if err != nil {
		f.handleError(w, err)
		return
	}
	cancel, ok := rec.Body.(jobs.Cancel)
	if !ok {
		f.refuse(w, operators, http.StatusForbidden, "forbidden", fmt.Sprintf("the key of a team may publish only records of kind %q", record.KindCancel))
		return
	}
	body := jobs.TeamCancel{Team: team, Cancel: cancel}
	own := record.Record{
		ID: rec.ID, Schema: codec.NewestSchema(body.Kind()), Author: "team:" + team, At: rec.At, Body: body,
	}
	if problems := append(own.CheckEnvelope(), body.Check()...); len(problems) > 0 {
		f.handleError(w, problems)
		return
	}
	f.append(w, r, own)
}
