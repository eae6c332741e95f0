package target

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// queryAfter is the query parameter of PathCacheEvents with the sequence number of
// the last event that the caller has.
const queryAfter = "after"

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.setHeaders(w.Header())
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.setHeaders(w.Header())
	writeJSON(w, http.StatusOK, t.loadReport())
}

// loadReport returns the load as of ReportLag ago, and the current state that
// orders have set.
func (t *Target) loadReport() targetapi.Load {
	reported := t.loadHistory.reported()
	report := targetapi.Load{
		Incarnation: t.options.Incarnation,
		Active:      reported.active,
		Queued:      reported.queued,
		Slots:       t.options.Slots,
		Leaving:     t.leaving.Load(),
	}
	t.orders.addTo(&report)
	return report
}

// serveOrder responds once the order has taken effect.
func (t *Target) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order targetapi.Order
	if !readJSON(w, r, &order) {
		return
	}
	t.setHeaders(w.Header())
	if err := t.executeOrder(r, order); err != nil {
		refuseOrder(w, err)
		return
	}
	writeJSON(w, http.StatusOK, t.loadReport())
}

// executeOrder checks an order, waits for the load time and applies the order.
func (t *Target) executeOrder(r *http.Request, order targetapi.Order) error {
	if err := t.orders.accept(order); err != nil {
		return err
	}
	if t.options.LoadTime > 0 {
		if err := await(r.Context(), t.closing.Done(), t.options.After(t.options.LoadTime)); err != nil {
			return err
		}
	}
	if err := await(r.Context(), t.closing.Done(), t.released.Done()); err != nil {
		return err
	}
	return t.orders.apply(order)
}

// ReleaseOrders lets held orders, and all later ones, take effect.
func (t *Target) ReleaseOrders() { t.release() }

// await waits until a channel is closed or delivers a value. It returns an error if the order's
// request or the target ends before.
func await[T any](ctx context.Context, closing <-chan struct{}, event <-chan T) error {
	select {
	case <-event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-closing:
		return errClosed
	}
}

// refuseOrder responds to an order that had no effect.
func refuseOrder(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, errOldFencing):
		status = http.StatusConflict
	case errors.Is(err, errBadAction), errors.Is(err, errTooManyLoaded):
		status = http.StatusBadRequest
	}
	refuseNotRun(w, status, err.Error())
}

func (t *Target) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get(queryAfter), 10, 64)
	if err != nil && r.URL.Query().Has(queryAfter) {
		writeError(w, http.StatusBadRequest, queryAfter+" is no whole number")
		return
	}
	page := t.events.after(after)
	page.Incarnation = t.options.Incarnation
	writeJSON(w, http.StatusOK, page)
}
