package admit

import (
	"time"

	"github.com/balsampier/balsampier"
)

const (
	defaultSlots          = 5
	defaultDepth          = 128
	defaultMaxConnections = 2000
	defaultNormalWeight   = 0.3
	defaultUrgentWeight   = 0.7
	defaultTarget         = 500 * time.Millisecond
	defaultInterval       = 500 * time.Millisecond
	defaultMaxWait        = 5 * time.Second

	// targetServiceTimes is how many service times a request may wait in an overload.
	targetServiceTimes = 8
)

// Settings bound the queue and share out its slots.
type Settings struct {
	// Slots is the most requests that run at once.
	Slots int
	// Depth bounds the waiting requests of each class.
	Depth int
	// MaxConnections bounds the streams.
	MaxConnections int
	// Weights are the guaranteed shares of slot time, indexed by Class; what
	// a class leaves goes to the other one.
	Weights [classes]float64
	// TargetWait bounds the wait in an overload, where a few service times are
	// not longer.
	TargetWait time.Duration
	// OverloadInterval is how long a class must have had waiting requests without a
	// break to count as overloaded.
	OverloadInterval time.Duration
	// MaxWait bounds the wait of every request.
	MaxWait time.Duration
}

// DefaultSettings returns the settings that are used where none are given.
func DefaultSettings() Settings {
	return Settings{
		Slots:            defaultSlots,
		Depth:            defaultDepth,
		MaxConnections:   defaultMaxConnections,
		Weights:          [classes]float64{balsampier.ClassNormal: defaultNormalWeight, balsampier.ClassUrgent: defaultUrgentWeight},
		TargetWait:       defaultTarget,
		OverloadInterval: defaultInterval,
		MaxWait:          defaultMaxWait,
	}
}

// Check reports what is wrong with the settings.
func (s Settings) Check() error {
	counts := s.Slots > 0 && s.Depth > 0 && s.MaxConnections > 0
	weights := s.Weights[0] > 0 && s.Weights[1] > 0
	times := s.TargetWait > 0 && s.OverloadInterval > 0 && s.MaxWait >= s.TargetWait
	if counts && weights && times {
		return nil
	}
	return balsampier.NewError(balsampier.KindInvalid, "check admission settings",
		"set every bound and weight above zero, and maxWait no lower than target", nil)
}
