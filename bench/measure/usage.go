package measure

import (
	"math"
	"runtime"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

// MemoryBytes returns the bytes of live heap and stacks after a collection.
func MemoryBytes() float64 {
	var m runtime.MemStats
	// The second collection frees what finalizers and pools held on to.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// ProcessorTime returns the processor time that the process has used.
func ProcessorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// MinDuration returns the shortest of n runs of f, as the others hold work of the
// rest of the machine.
func MinDuration(k balsampier.Clock, n int, f func()) time.Duration {
	least := time.Duration(math.MaxInt64)
	for range n {
		t := k.Now()
		f()
		least = min(least, k.Now().Sub(t))
	}
	return least
}

// Wait waits for d.
func Wait(k balsampier.Clock, d time.Duration) {
	t := k.NewTimer(d)
	<-t.C()
}
