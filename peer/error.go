package peer

import (
	"github.com/gravitational/trace"
	"storj.io/drpc/drpcerr"

	"github.com/balsampier/balsampier"
)

// encodeError lets the kind of an error travel with it.
func encodeError(err error) error {
	if k := balsampier.KindOf(err); k != 0 {
		return drpcerr.WithCode(err, uint64(k))
	}
	return err
}

// decodeError returns a typed error; without a kind the peer was not reached.
func decodeError(op string, err error) error {
	if c := drpcerr.Code(err); c >= uint64(balsampier.KindInvalid) && c <= uint64(balsampier.KindCorrupt) {
		return trace.Wrap(balsampier.NewError(balsampier.Kind(c), op, "see the message", err))
	}
	return trace.Wrap(balsampier.NewError(balsampier.KindUnavailable, op,
		"it is tried again, at another instance if there is one; check that they run with the same peer key", err))
}
