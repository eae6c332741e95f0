package target

import "net/http"

// Paths that control the emulator. Real targets have none of them.
const (
	// PathAdminFaults sets and lists the faults in force, a JSON array of Fault.
	PathAdminFaults = "/admin/faults"
	// PathAdminLeaving accepts a LeavingRequest.
	PathAdminLeaving = "/admin/leaving"
	// PathAdminRuns returns a RunsReport.
	PathAdminRuns = "/admin/runs"
	// PathAdminOrders lists the orders that took effect.
	PathAdminOrders = "/admin/orders"
	// PathAdminReleaseOrders lets held orders take effect.
	PathAdminReleaseOrders = "/admin/orders/release"
)

// LeavingRequest is the body of POST /admin/leaving.
type LeavingRequest struct {
	Leaving bool `json:"leaving"`
}

func (t *Target) serveListFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.faults.list())
}

func (t *Target) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults []Fault
	if !readJSON(w, r, &faults) {
		return
	}
	for _, fault := range faults {
		if !fault.Kind.valid() {
			writeError(w, http.StatusBadRequest, "unknown fault "+string(fault.Kind))
			return
		}
	}
	t.SetFaults(faults...)
	writeJSON(w, http.StatusOK, t.faults.list())
}

func (t *Target) serveSetLeaving(w http.ResponseWriter, r *http.Request) {
	var request LeavingRequest
	if !readJSON(w, r, &request) {
		return
	}
	t.SetLeaving(request.Leaving)
	writeJSON(w, http.StatusOK, request)
}

func (t *Target) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.RunsReport())
}

func (t *Target) serveOrders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.Orders())
}

func (t *Target) serveReleaseOrders(w http.ResponseWriter, _ *http.Request) {
	t.ReleaseOrders()
	writeJSON(w, http.StatusOK, struct{}{})
}
