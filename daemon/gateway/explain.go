package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/daemon/relay"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/explainapi"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// serveExplain answers where a request would be sent now, and why.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	query, err := explainapi.ParseQuery(r.URL.Query())
	var parameter *explainapi.ParameterError
	if errors.As(err, &parameter) {
		sendExplanation(w, http.StatusBadRequest, problemOf(http.StatusBadRequest, parameter.Name, parameter.Reason))
		return
	}
	answer, err := g.relay.Explain(r.Context(), query)
	if errors.Is(err, relay.ErrUnknownRoute) {
		sendExplanation(w, http.StatusNotFound, problemOf(http.StatusNotFound, explainapi.ParamRoute, "there is no route "+query.Route))
		return
	}
	sendExplanation(w, http.StatusOK, answer)
}

func problemOf(status int, parameter, detail string) callerapi.Problem {
	return callerapi.Problem{
		Title: http.StatusText(status), Status: status, Field: parameter, Detail: detail, Outcome: callerapi.OutcomeNotRun,
	}
}

func sendExplanation(w http.ResponseWriter, status int, body any) {
	media := callerapi.MediaJSON
	if status != http.StatusOK {
		media = callerapi.MediaProblem
	}
	w.Header().Set("Content-Type", media)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		telemetry.ErrorS(err, "Explanation not sent", telemetry.Event{})
	}
}
