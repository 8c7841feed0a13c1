package peer

import (
	"github.com/gravitational/trace"
	"storj.io/drpc/drpcerr"

	"github.com/balsampier/balsampier"
)

// encodeError attaches the kind of err as the drpc error code.
func encodeError(err error) error {
	if k := balsampier.KindOf(err); k != 0 {
		return drpcerr.WithCode(err, uint64(k))
	}
	return err
}

// decodeError converts an error of a call to a typed error. An error without a
// kind becomes KindUnavailable: the peer was not reached.
func decodeError(op string, err error) error {
	if c := drpcerr.Code(err); c >= uint64(balsampier.KindInvalid) && c <= uint64(balsampier.KindCorrupt) {
		return trace.Wrap(balsampier.NewError(balsampier.Kind(c), op, "see the message", err))
	}
	return trace.Wrap(balsampier.NewError(balsampier.KindUnavailable, op,
		"the call is retried, on another instance if there is one; check that all processes have the same peer key file", err))
}
