// Package backend is the HTTP interface between an agent and its backend server:
// it receives the announcements of the server, queries its health and load, and
// forwards requests to it. It makes no decisions.
package backend

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// PathAnnounce is the path to which a backend server sends announcements.
	PathAnnounce = "/v1/backend"

	// AnnouncementTTL is how long an announcement is valid. A server repeats
	// it several times within this time.
	AnnouncementTTL = 5 * time.Second

	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4 << 10
)

type (
	// Announcement describes a backend server. The server sends it.
	Announcement struct {
		// Service is the name of the service that the server provides.
		Service balsampier.ServiceName `json:"service"`
		// Addr is the address of its HTTP server.
		Addr netip.AddrPort `json:"address"`
		// Slots is how many requests it runs concurrently.
		Slots int `json:"slots"`
		// Connections is how many connections it accepts.
		Connections int `json:"connections"`
		// Draining is true if the server wants no new requests.
		Draining bool `json:"draining"`
		// HealthPath answers with 200 while the server is healthy. It is empty
		// if there is no health check.
		HealthPath string `json:"healthPath,omitempty"`
		// LoadPath answers with the load that the server reports. It is empty
		// if there is no such report.
		LoadPath string `json:"loadPath,omitempty"`
	}

	errorResponse struct {
		Error string `json:"error,omitempty"`
	}
)

// AnnounceHandler validates announcements and calls f with each valid one. An
// error of f is answered with 409.
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
			writeResponse(w, http.StatusBadRequest, "invalid announcement: "+err.Error())
			return
		}
		if a.Service == "" || !validAddr(a.Addr) || a.Slots <= 0 || a.Connections <= 0 {
			writeResponse(w, http.StatusBadRequest, "service and address are required, slots and connections must be positive")
			return
		}
		if !validPath(a.HealthPath) || !validPath(a.LoadPath) {
			writeResponse(w, http.StatusBadRequest, "healthPath and loadPath must start with / or be left out")
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
