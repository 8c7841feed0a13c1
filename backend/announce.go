// Package backend speaks HTTP to the backend server beside an agent: it takes
// the server's announcement and forwards requests to it. It decides nothing.
package backend

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// PathAnnounce is where a backend server announces itself.
	PathAnnounce = "/v1/backend"

	// AnnouncementTTL is how long an announcement holds; a server repeats it
	// several times within.
	AnnouncementTTL = 5 * time.Second

	// maxAnnouncementBytes bounds an announcement.
	maxAnnouncementBytes = 4 << 10
)

type (
	// Announcement is what a backend server says of itself.
	Announcement struct {
		// Service is the service that it serves.
		Service balsampier.ServiceName `json:"service"`
		// Addr is where it takes HTTP requests.
		Addr netip.AddrPort `json:"address"`
		// Slots is how many requests it runs at once.
		Slots int `json:"slots"`
		// Connections is how many connections it takes.
		Connections int `json:"connections"`
		// Draining asks for no new work.
		Draining bool `json:"draining"`
		// HealthPath answers 200 while the server is well; empty without one.
		HealthPath string `json:"healthPath,omitempty"`
		// LoadPath answers with the server's own account of its load; empty
		// without one.
		LoadPath string `json:"loadPath,omitempty"`
	}

	errorResponse struct {
		Error string `json:"error,omitempty"`
	}
)

// AnnounceHandler takes announcements and hands the valid ones to f.
func AnnounceHandler(f func(Announcement) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut {
			writeResponse(w, http.StatusMethodNotAllowed, "use PUT")
			return
		}
		var a Announcement
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&a); err != nil {
			writeResponse(w, http.StatusBadRequest, "the announcement is not understood: "+err.Error())
			return
		}
		if a.Service == "" || !validAddr(a.Addr) || a.Slots <= 0 || a.Connections <= 0 {
			writeResponse(w, http.StatusBadRequest, "give service, address, slots and connections, the last two positive")
			return
		}
		if !validPath(a.HealthPath) || !validPath(a.LoadPath) {
			writeResponse(w, http.StatusBadRequest, "start healthPath and loadPath with / or leave them out")
			return
		}
		if err := f(a); err != nil {
			writeResponse(w, http.StatusConflict, err.Error())
			return
		}
		writeResponse(w, http.StatusOK, "")
	})
}

func writeResponse(w http.ResponseWriter, status int, msg string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorResponse{Error: msg})
}
