package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Handler serves the relay's commands over HTTP. It must listen on loopback only: it doesn't
// authenticate its callers.
//
//	POST /mute?direction=both|to_target|to_client
//	POST /mute-new?direction=...
//	POST /reset
//	POST /refuse
//	POST /delay?by=50ms&direction=...
//	POST /restore
//	GET  /stats
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	command := func(name string, run func(Direction, url.Values) error) {
		mux.HandleFunc("POST /"+name, func(w http.ResponseWriter, req *http.Request) {
			query := req.URL.Query()
			d, err := parseDirection(query.Get("direction"))
			if err == nil {
				err = run(d, query)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		})
	}
	command("mute", func(d Direction, _ url.Values) error { r.Mute(d); return nil })
	command("mute-new", func(d Direction, _ url.Values) error { r.MuteNew(d); return nil })
	command("reset", func(Direction, url.Values) error { r.Reset(); return nil })
	command("refuse", func(Direction, url.Values) error { r.Refuse(); return nil })
	command("restore", func(Direction, url.Values) error { return r.Restore() })
	command("delay", func(d Direction, query url.Values) error {
		by, err := time.ParseDuration(query.Get("by"))
		if err != nil || by < 0 {
			return fmt.Errorf("by: %q is not a delay", query.Get("by"))
		}
		r.Delay(d, by)
		return nil
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Stats())
	})
	return mux
}

func parseDirection(text string) (Direction, error) {
	switch text {
	case "", "both":
		return Both, nil
	case "to_target":
		return ToTarget, nil
	case "to_client":
		return ToClient, nil
	default:
		return Both, fmt.Errorf("direction: %q is not both, to_target or to_client", text)
	}
}
