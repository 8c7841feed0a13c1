package flows

import "io"

func printBroken(io.Writer, uint64) error { return nil }
