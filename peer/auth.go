package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"storj.io/drpc/drpcmetadata"

	"github.com/balsampier/balsampier"
)

// keyField is the metadata field that carries the proof of the shared key.
const keyField = "balsampier-key"

// Key is the secret that the processes of one system share.
type Key struct {
	// proof is derived from the secret; the secret itself is never sent.
	proof string
}

// NewKey returns the key made from the bytes of a key file.
func NewKey(b []byte) Key {
	s := sha256.Sum256(append([]byte("balsampier peer "), b...))
	return Key{proof: hex.EncodeToString(s[:])}
}

// attach adds the proof to the calls made with the returned context.
func (k Key) attach(c context.Context) context.Context {
	return drpcmetadata.Add(c, keyField, k.proof)
}

// check refuses calls without the right proof.
func (k Key) check(c context.Context) error {
	m, _ := drpcmetadata.Get(c)
	if subtle.ConstantTimeCompare([]byte(m[keyField]), []byte(k.proof)) == 1 {
		return nil
	}
	return encodeError(balsampier.NewError(balsampier.KindUnauthenticated, "check the peer's key",
		"give all processes the same peer key file", nil))
}
