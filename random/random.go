// Package random implements the Random interface.
package random

import "math/rand/v2"

// System uses the random generator of the Go runtime, which is safe for
// concurrent use.
type System struct{}

// Uint64 returns a uniformly distributed number.
func (System) Uint64() uint64 { return rand.Uint64() }
