package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// serveKVExport returns the size of a cached part, or 404 if it isn't cached.
func (t *Target) serveKVExport(w http.ResponseWriter, r *http.Request) {
	var move targetapi.KVMove
	if !readJSON(w, r, &move) {
		return
	}
	part, ok := t.cache.find(move.Part)
	if !ok {
		writeError(w, http.StatusNotFound, "part is not cached")
		return
	}
	writeJSON(w, http.StatusOK, targetapi.KVMove{Part: part.ID, Tokens: part.Tokens})
}

// serveKVImport fetches the KV cache of a part from another target.
func (t *Target) serveKVImport(w http.ResponseWriter, r *http.Request) {
	var move targetapi.KVMove
	if !readJSON(w, r, &move) {
		return
	}
	exported, err := t.fetchKV(r.Context(), move)
	if err != nil {
		writeError(w, http.StatusBadGateway, err.Error())
		return
	}
	t.cache.add([]targetapi.Part{{ID: exported.Part, Tokens: exported.Tokens}})
	if _, ok := t.cache.find(exported.Part); !ok {
		writeError(w, http.StatusInsufficientStorage, "part is larger than the cache")
		return
	}
	writeJSON(w, http.StatusOK, exported)
}

func (t *Target) fetchKV(ctx context.Context, move targetapi.KVMove) (targetapi.KVMove, error) {
	body, err := json.Marshal(targetapi.KVMove{Part: move.Part})
	if err != nil {
		return targetapi.KVMove{}, err
	}
	url := "http://" + move.Source + targetapi.PathKVExport
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return targetapi.KVMove{}, err
	}
	response, err := t.options.PeerClient.Do(request)
	if err != nil {
		return targetapi.KVMove{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return targetapi.KVMove{}, errors.Newf("source answers %d", response.StatusCode)
	}
	var exported targetapi.KVMove
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxBodyBytes)).Decode(&exported)
	return exported, err
}
