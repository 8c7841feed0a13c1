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
	// minCompressBytes is the length from which text is compressed; shorter text
	// does not become smaller.
	minCompressBytes = 512
	// maxTextBytes bounds decompressed text. It is well above the rule file of
	// the largest fleet (545 KB).
	maxTextBytes = 4 << 20
	// maxCachedTexts bounds the cache of compressed texts. A few are enough,
	// because members that start at the same time get the same texts.
	maxCachedTexts = 4
)

// textCompressor compresses texts and caches the results, so that a text for many
// members is compressed once. It is safe for concurrent use.
type textCompressor struct {
	mu sync.Mutex
	// texts and compressed hold the newest texts and their compressed forms, at
	// most maxCachedTexts of each, oldest first.
	texts      []string
	compressed [][]byte
}

// compress returns the text compressed with DEFLATE, or nil if that would not be
// shorter.
func (p *textCompressor) compress(text string) ([]byte, error) {
	if len(text) < minCompressBytes {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, t := range p.texts {
		if t == text {
			return p.compressed[i], nil
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
	if len(p.texts) == maxCachedTexts {
		p.texts, p.compressed = p.texts[1:], p.compressed[1:]
	}
	p.texts, p.compressed = append(p.texts, text), append(p.compressed, o)
	return o, nil
}

// decompress reverses compress. It fails if the text exceeds maxTextBytes.
func decompress(b []byte) (string, error) {
	var s strings.Builder
	n, err := io.Copy(&s, io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxTextBytes+1))
	if err != nil {
		return "", trace.Wrap(err, "decompress text")
	}
	if n > maxTextBytes {
		return "", errMalformed("decompress text: too long")
	}
	return s.String(), nil
}
