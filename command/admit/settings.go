package admit

import (
	"time"

	"github.com/balsampier/balsampier"
)

const (
	defaultSlots            = 5
	defaultDepth            = 128
	defaultMaxConnections   = 2000
	defaultNormalWeight     = 0.3
	defaultUrgentWeight     = 0.7
	defaultTargetWait       = 500 * time.Millisecond
	defaultOverloadInterval = 500 * time.Millisecond
	defaultMaxWait          = 5 * time.Second

	// targetServiceTimes is how many mean service times a request may wait in
	// an overload.
	targetServiceTimes = 8
)

// Settings configures a queue.
type Settings struct {
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Depth limits the waiting requests of each class.
	Depth int
	// MaxConnections limits the connections.
	MaxConnections int
	// Weights are the guaranteed shares of slot time, indexed by
	// balsampier.Class. A class can use the share that the other one leaves.
	Weights [classes]float64
	// TargetWait limits the wait of a request in an overload, unless
	// targetServiceTimes mean service times are longer.
	TargetWait time.Duration
	// OverloadInterval is how long a class must have had waiting requests
	// without a break to count as overloaded.
	OverloadInterval time.Duration
	// MaxWait is the wait after which a request is refused even without an
	// overload. The requests needed to fill the slots and those of light
	// callers are kept.
	MaxWait time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Slots:            defaultSlots,
		Depth:            defaultDepth,
		MaxConnections:   defaultMaxConnections,
		Weights:          [classes]float64{balsampier.ClassNormal: defaultNormalWeight, balsampier.ClassUrgent: defaultUrgentWeight},
		TargetWait:       defaultTargetWait,
		OverloadInterval: defaultOverloadInterval,
		MaxWait:          defaultMaxWait,
	}
}

// Check returns an error of KindInvalid if a value is out of range.
func (s Settings) Check() error {
	counts := s.Slots > 0 && s.Depth > 0 && s.MaxConnections > 0
	weights := s.Weights[0] > 0 && s.Weights[1] > 0
	times := s.TargetWait > 0 && s.OverloadInterval > 0 && s.MaxWait >= s.TargetWait
	if counts && weights && times {
		return nil
	}
	return balsampier.NewError(balsampier.KindInvalid, "check admission settings",
		"set every limit and weight above zero, and maxWait no lower than targetWait", nil)
}
