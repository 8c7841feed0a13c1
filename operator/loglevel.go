package operator

import (
	"context"
	"net/http"
	"slices"

	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
)

const pathLogLevel = "/v1/logLevel"

var logLevels = []string{"debug", "info", "warn", "error"}

// LogLevelBody is the request and the response body of the log level API.
type LogLevelBody struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// AddLogLevel adds the handler that sets the level of g, and returns s.
func (s *Server) AddLogLevel(g *log.Logger) *Server {
	s.HandlePrivate(pathLogLevel, func(w http.ResponseWriter, r *http.Request) {
		var b LogLevelBody
		if err := readJSON(w, r, maxSmallBodyBytes, &b); err != nil {
			WriteError(w, err)
			return
		}
		if !slices.Contains(logLevels, b.Level) {
			WriteError(w, balsampier.NewError(balsampier.KindInvalid, "set log level "+b.Level, "use debug, info, warn or error", nil))
			return
		}
		g.SetLevel(log.ParseLevel(b.Level))
		g.WithLevel(log.InfoLevel).Str("logLevel", b.Level).Msg("log level set")
		WriteJSON(w, http.StatusOK, b)
	}, http.MethodPut)
	return s
}

// SetLogLevel sets the log level of a process. The level in its settings
// applies again after a restart.
func (l *Client) SetLogLevel(c context.Context, level string) error {
	return l.do(c, http.MethodPut, pathLogLevel, LogLevelBody{Level: level}, &LogLevelBody{})
}
