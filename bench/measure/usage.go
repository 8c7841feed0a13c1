package measure

import (
	"math"
	"runtime"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

// MemoryBytes returns the size of the live heap and of the stacks in bytes,
// after a garbage collection.
func MemoryBytes() float64 {
	var m runtime.MemStats
	// The second collection frees what finalizers and sync.Pool kept reachable
	// during the first one.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// ProcessorTime returns the user and system processor time that the process
// has used since its start.
func ProcessorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// MinDuration runs f n times and returns the shortest duration, because other
// load on the machine only makes a run longer.
func MinDuration(k balsampier.Clock, n int, f func()) time.Duration {
	least := time.Duration(math.MaxInt64)
	for range n {
		t := k.Now()
		f()
		least = min(least, k.Now().Sub(t))
	}
	return least
}

// Wait blocks until d has passed on the clock k.
func Wait(k balsampier.Clock, d time.Duration) {
	t := k.NewTimer(d)
	<-t.C()
}
