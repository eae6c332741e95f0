package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Admin paths of the emulator.
const (
	PathFaults  = "/admin/faults"
	PathCalls   = "/admin/calls"
	PathTargets = "/admin/targets"
)

// WeightChunk is the response of the weight store: the number of bytes that count
// as read.
type WeightChunk struct {
	Name  string `json:"name"`
	Bytes uint64 `json:"bytes"`
}

func (s *Store) registerAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("PUT "+PathFaults, s.serveSetFaults)
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Calls())
	})
	mux.HandleFunc("PUT "+PathTargets, s.serveSetTarget)
	mux.HandleFunc("DELETE "+PathTargets+"/{incarnation}", func(w http.ResponseWriter, r *http.Request) {
		s.RemoveTarget(r.PathValue("incarnation"))
		writeJSON(w, http.StatusOK, struct{}{})
	})
}

func (s *Store) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readAdmin(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

// serveSetTarget registers a target, or marks it as leaving if its state says so.
func (s *Store) serveSetTarget(w http.ResponseWriter, r *http.Request) {
	var entry platformapi.TargetEntry
	if !readAdmin(w, r, &entry) {
		return
	}
	if entry.State == platformapi.TargetLeaving {
		s.SetLeaving(entry.Incarnation)
	} else {
		s.RegisterTarget(entry)
	}
	writeJSON(w, http.StatusOK, entry)
}

func readAdmin(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		writeRefusal(w, refuse(http.StatusBadRequest, err.Error()))
		return false
	}
	return true
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	size, ok := parseNumber(w, r.URL.Query().Get("bytes"))
	if !ok {
		return
	}
	chunk := WeightChunk{Name: r.PathValue("name"), Bytes: size}
	failed := s.readWeights(r.Context(), requestOf(r), size)
	respond(w, r, chunk, failed)
}

// readWeights checks a chunk against the rate limit of the weight store, which all
// callers share. A chunk larger than the burst of one second is always refused.
func (s *Store) readWeights(ctx context.Context, r request, size uint64) *callFailure {
	if burst := s.weights.Burst(); burst > 0 && size > uint64(burst) {
		return &callFailure{refusal: refuse(http.StatusBadRequest, "chunk over a second's worth")}
	}
	r.kind = CallWeight
	return s.admitTokens(ctx, r, s.weights, int(size))
}
