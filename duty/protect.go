package duty

import (
	"fmt"
	"runtime/debug"

	"github.com/balsampier/balsampier"
)

// Protect calls f and returns its error. A panic of f becomes an error of
// KindUnknown with the stack, so that one input that f cannot handle does not
// end the process.
func Protect(op string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = balsampier.NewError(balsampier.KindUnknown, op, "report the stack as a bug", fmt.Errorf("panic: %v\n%s", v, debug.Stack()))
		}
	}()
	return f()
}
