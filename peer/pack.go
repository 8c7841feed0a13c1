package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// packFrom is the length from which text is packed: shorter text gains
	// nothing.
	packFrom = 512
	// maxText bounds unpacked text, above the rule file of the largest fleet
	// (545 KB).
	maxText = 4 << 20
	// maxPacked bounds the texts that are kept packed: all members that start
	// together get the same few.
	maxPacked = 4
)

// packer packs the texts that are sent to many members once.
type packer struct {
	mu sync.Mutex
	// texts and packed are the newest, at most maxPacked, oldest first.
	texts  []string
	packed [][]byte
}

// pack returns the text packed, or nil where that is no shorter.
func (p *packer) pack(text string) ([]byte, error) {
	if len(text) < packFrom {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, t := range p.texts {
		if t == text {
			return p.packed[i], nil
		}
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := io.WriteString(w, text); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	o := b.Bytes()
	if len(o) >= len(text) {
		o = nil
	}
	if len(p.texts) == maxPacked {
		p.texts, p.packed = p.texts[1:], p.packed[1:]
	}
	p.texts, p.packed = append(p.texts, text), append(p.packed, o)
	return o, nil
}

// unpack returns the text of what pack returned.
func unpack(b []byte) (string, error) {
	var s strings.Builder
	n, err := io.Copy(&s, io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxText+1))
	if err != nil {
		return "", trace.Wrap(err, "unpack text")
	}
	if n > maxText {
		return "", errEnvelope("the packed text is too long")
	}
	return s.String(), nil
}
