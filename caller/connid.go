// Package caller implements QUIC and HTTP/3 towards callers: it encodes and
// decodes connection IDs, and terminates or refuses connections. It makes no
// decisions.
package caller

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"github.com/balsampier/balsampier"
)

const (
	// ConnectionIDBytes is the length of the connection IDs that agents
	// issue: one cipher block and a tag.
	ConnectionIDBytes = aes.BlockSize + tagBytes

	tagBytes = 4
)

type (
	// IDCodec encrypts the holder of a flow into connection IDs.
	IDCodec struct {
		// block encrypts the holder. tag computes the tag that distinguishes
		// IDs of agents from IDs that callers chose.
		block, tag cipher.Block
	}

	// idGenerator generates the connection IDs of one holder.
	idGenerator struct {
		codec  *IDCodec
		holder balsampier.Holder
		// counter numbers the IDs, so that each is unique within the
		// incarnation.
		counter *atomic.Uint32
	}
)

var _ quic.ConnectionIDGenerator = (*idGenerator)(nil)

// NewIDCodec returns the codec for the key that all processes share.
func NewIDCodec(key []byte) (*IDCodec, error) {
	s := sha256.Sum256(append([]byte("balsampier connection ID "), key...))
	b, err := aes.NewCipher(s[:16])
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t, err := aes.NewCipher(s[16:])
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &IDCodec{block: b, tag: t}, nil
}

// Encode returns the nth connection ID of the holder.
func (c *IDCodec) Encode(h balsampier.Holder, n uint32) [ConnectionIDBytes]byte {
	var id, t [ConnectionIDBytes]byte
	binary.BigEndian.PutUint64(id[:], uint64(h.Instance))
	binary.BigEndian.PutUint32(id[8:], uint32(h.Incarnation))
	binary.BigEndian.PutUint32(id[12:], n)
	c.block.Encrypt(id[:aes.BlockSize], id[:aes.BlockSize])
	c.tag.Encrypt(t[:aes.BlockSize], id[:aes.BlockSize])
	copy(id[aes.BlockSize:], t[:tagBytes])
	return id
}

// Decode returns the holder in a connection ID. ok is false for an ID that was not
// encoded with the same key.
func (c *IDCodec) Decode(id []byte) (h balsampier.Holder, ok bool) {
	if len(id) != ConnectionIDBytes {
		return h, false
	}
	var b [aes.BlockSize]byte
	c.tag.Encrypt(b[:], id[:aes.BlockSize])
	if [tagBytes]byte(b[:tagBytes]) != [tagBytes]byte(id[aes.BlockSize:]) {
		return h, false
	}
	c.block.Decrypt(b[:], id[:aes.BlockSize])
	h.Instance = balsampier.InstanceID(binary.BigEndian.Uint64(b[:]))
	h.Incarnation = balsampier.Incarnation(binary.BigEndian.Uint32(b[8:]))
	return h, true
}

// GenerateConnectionID implements quic.ConnectionIDGenerator. It returns an ID
// that was not returned before, until the counter wraps.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id := g.codec.Encode(g.holder, g.counter.Add(1))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *idGenerator) ConnectionIDLen() int { return ConnectionIDBytes }
