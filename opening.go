package balsampier

import "time"

const (
	// SequenceWindow is how far the sequence numbers of packets that are under way
	// at the same time may be apart, in bytes: 64 packets of 1,200 bytes.
	SequenceWindow = 76_800
	// copyWindow is how long after the first opening packet a copy of it may
	// arrive: clients send the last one after 600 ms, and the network may delay it.
	copyWindow = 3 * time.Second
	// maxCountedCopy is the highest number of a copy that is told from others.
	maxCountedCopy = 31
)

// Opening identifies the opening packet of a flow, so that its copies can be told
// from the opening packet of a later flow with the same addresses and ports. The
// zero Opening identifies none.
type Opening struct {
	// sequence and spread give the possible initial sequence numbers of the client:
	// from sequence to sequence+spread, modulo 2^32.
	sequence, spread uint32
	// firstSeenAt is when the first packet of the flow was seen; zero if none was.
	firstSeenAt time.Time
	// copiesSeen has a bit for each copy seen, the lowest for the first packet.
	copiesSeen uint32
}

// NewOpening returns the Opening of the flow of which s, a packet of the client,
// is the first that was seen, at time t. If s does not open the flow, its opening
// packet came at most SequenceWindow before.
func NewOpening(s Segment, t time.Time) Opening {
	if !s.Opening {
		return Opening{sequence: s.Sequence - SequenceWindow, spread: SequenceWindow, firstSeenAt: t}
	}
	return Opening{sequence: s.Sequence, firstSeenAt: t, copiesSeen: copyBit(s)}
}

// IsCopy reports whether the opening packet s, which arrived at time t, is a copy
// of the one that opened the flow. One with the same sequence number is no copy if
// it comes too late, as clients may choose the same number again.
func (o *Opening) IsCopy(s Segment, t time.Time) bool {
	return !o.firstSeenAt.IsZero() && s.Sequence-o.sequence <= o.spread && t.Sub(o.firstSeenAt) <= copyWindow
}

// FirstSeenAt returns when the first packet of the flow was seen; zero if none was.
func (o *Opening) FirstSeenAt() time.Time { return o.firstSeenAt }

// HasSeen reports whether a copy with the same number as s was recorded. The
// client sends each once.
func (o *Opening) HasSeen(s Segment) bool { return o.copiesSeen&copyBit(s) != 0 }

// RecordCopy records that the copy s was seen.
func (o *Opening) RecordCopy(s Segment) { o.copiesSeen |= copyBit(s) }

// MayPrecede reports whether s, a packet that does not open a flow, may be one of
// the first packets of the flow that was opened.
func (o *Opening) MayPrecede(s Segment) bool {
	return o.firstSeenAt.IsZero() || s.Sequence-o.sequence <= o.spread+SequenceWindow
}

func copyBit(s Segment) uint32 { return 1 << min(s.Retransmissions, maxCountedCopy) }
