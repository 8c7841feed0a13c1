package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"storj.io/drpc/drpcmetadata"

	"github.com/balsampier/balsampier"
)

// keyMetadata is the drpc metadata field that carries the proof of the shared
// key.
const keyMetadata = "balsampier-key"

// Key authenticates calls between the processes of one system, which share a
// secret.
type Key struct {
	// proof is a hex-encoded SHA-256 hash that is derived from the secret and
	// sent with each call. The secret itself is never sent.
	proof string
}

// NewKey derives the key from the content of a key file.
func NewKey(b []byte) Key {
	s := sha256.Sum256(append([]byte("balsampier peer "), b...))
	return Key{proof: hex.EncodeToString(s[:])}
}

// withProof returns a context whose outgoing calls carry the proof.
func (k Key) withProof(c context.Context) context.Context {
	return drpcmetadata.Add(c, keyMetadata, k.proof)
}

// verifyProof returns a KindUnauthenticated error if the incoming call does not
// carry the right proof.
func (k Key) verifyProof(c context.Context) error {
	m, _ := drpcmetadata.Get(c)
	if subtle.ConstantTimeCompare([]byte(m[keyMetadata]), []byte(k.proof)) == 1 {
		return nil
	}
	return encodeError(balsampier.NewError(balsampier.KindUnauthenticated, "verify the peer key",
		"give all processes the same peer key file", nil))
}
