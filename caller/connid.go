// Package caller speaks QUIC and HTTP/3 to callers: it reads and makes
// connection IDs, terminates connections and refuses them. It decides
// nothing.
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
	// choose: one cipher block and a tag.
	ConnectionIDBytes = aes.BlockSize + tagBytes

	tagBytes = 4
)

type (
	// IDCodec hides the holder of a flow in connection IDs.
	IDCodec struct {
		// block enciphers the holder; tag tells own IDs from callers' IDs.
		block, tag cipher.Block
	}

	// idGenerator makes the connection IDs of one agent.
	idGenerator struct {
		codec  *IDCodec
		holder balsampier.Holder
		// counter makes every ID unique within the incarnation.
		counter *atomic.Uint32
	}
)

var _ quic.ConnectionIDGenerator = (*idGenerator)(nil)

// NewIDCodec returns the codec for the key that the processes share.
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

// Encode returns the connection ID number n of the holder.
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

// Decode returns the holder in a connection ID; ok is false for IDs that no
// agent made.
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

// GenerateConnectionID returns a fresh ID.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id := g.codec.Encode(g.holder, g.counter.Add(1))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of the IDs.
func (g *idGenerator) ConnectionIDLen() int { return ConnectionIDBytes }
