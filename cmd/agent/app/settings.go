package app

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/balsampier/balsampier/cmd/agent/datagram"
	"github.com/balsampier/balsampier/settings"
)

const (
	defaultRingDepth    = 8192
	defaultQueueDepth   = 256
	defaultDrainTimeout = 24 * time.Hour
	defaultMaxBodyBytes = 1 << 20
)

type (
	// Settings holds the settings of an agent.
	Settings struct {
		settings.Common `yaml:",inline"`
		// PeerAddr receives envelopes over UDP and calls over TCP.
		PeerAddr netip.AddrPort `yaml:"peerAddress"`
		// Control lists the peer addresses of the control instances.
		Control []netip.AddrPort `yaml:"control"`
		// BackendAddr is where the backend server announces itself.
		BackendAddr netip.AddrPort `yaml:"backendAddress"`
		// CertFile and KeyFile hold the certificate shown to callers.
		CertFile string `yaml:"certFile"`
		KeyFile  string `yaml:"keyFile"`
		// Requests assigns kinds to requests; the first match wins.
		Requests []RequestKind `yaml:"requests"`
		// QueueDepth bounds the queued requests of each class.
		QueueDepth int `yaml:"queueDepth"`
		// MaxWait bounds the queueing time of every request, TargetWait that
		// during overload.
		MaxWait    time.Duration `yaml:"maxWait"`
		TargetWait time.Duration `yaml:"targetWait"`
		// UrgentShare is the share of slot time of the urgent class, between 0
		// and 1; the normal class has the rest.
		UrgentShare float64 `yaml:"urgentShare"`
		// ClaimRetention is how long a key may be sent again. It must be the
		// same at all agents, as must MaxClockSkew and MaxClaims.
		ClaimRetention time.Duration `yaml:"claimRetention"`
		MaxClockSkew   time.Duration `yaml:"maxClockSkew"`
		MaxClaims      int           `yaml:"maxClaims"`
		// MaxAnswers and AnswerBytes bound the kept answers. MaxAnswerBytes
		// bounds each answer, and MaxBodyBytes the body of a request with a
		// key.
		MaxAnswers     int `yaml:"maxAnswers"`
		AnswerBytes    int `yaml:"answerBytes"`
		MaxAnswerBytes int `yaml:"maxAnswerBytes"`
		MaxBodyBytes   int `yaml:"maxBodyBytes"`
		// RingDepth is the capacity of each ring.
		RingDepth int `yaml:"ringDepth"`
		// DrainTimeout bounds how long a shutdown waits for running requests.
		DrainTimeout time.Duration `yaml:"drainTimeout"`
		// Datagram selects the datagram front end; nil selects QUIC.
		Datagram *datagram.Settings `yaml:"datagram"`
	}

	// RequestKind defines how matching requests are treated.
	RequestKind struct {
		// Method is an HTTP method; empty matches all.
		Method string `yaml:"method"`
		// PathPrefix is the start of the path; empty matches all.
		PathPrefix string `yaml:"pathPrefix"`
		// Class is urgent or normal; empty uses the class of the rule.
		Class string `yaml:"class"`
		// Stream requests count as connections and take no slot.
		Stream bool `yaml:"stream"`
	}
)

// SetDefaults sets the defaults of omitted settings.
func (s *Settings) SetDefaults() {
	s.Common.SetDefaults()
	if s.RingDepth == 0 {
		s.RingDepth = defaultRingDepth
	}
	if s.QueueDepth == 0 {
		s.QueueDepth = defaultQueueDepth
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = defaultDrainTimeout
	}
	s.setRequestDefaults()
}

// Check adds a fault for each invalid setting.
func (s *Settings) Check(f *settings.Faults) {
	s.Common.Check(f)
	f.Addr("peerAddress", s.PeerAddr)
	f.Addr("backendAddress", s.BackendAddr)
	if s.Datagram != nil {
		s.Datagram.Check(f)
		return
	}
	f.File("certFile", s.CertFile)
	f.File("keyFile", s.KeyFile)
	f.Positive("queueDepth", s.QueueDepth)
	f.Positive("ringDepth", s.RingDepth)
	f.Positive("drainTimeout", int(s.DrainTimeout))
	s.checkRequests(f)
	if len(s.Control) == 0 {
		f.Add("control", "", "list the peer addresses of the control instances")
	}
	for i, r := range s.Requests {
		if r.Class != "" && r.Class != "urgent" && r.Class != "normal" {
			f.Add(fmt.Sprintf("requests[%d].class", i), r.Class, "write urgent or normal, or leave it out")
		}
	}
}

// matches reports whether the kind covers a request.
func (k RequestKind) matches(method, path string) bool {
	return (k.Method == "" || k.Method == method) && strings.HasPrefix(path, k.PathPrefix)
}
