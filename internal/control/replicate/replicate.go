// Package replicate transfers a configuration in pieces, without I/O. A replica that has missed any number of changes
// needs only the newest state and one configuration. It receives the configuration in messages of bounded size and
// keeps it only if its digest is the decided one.
package replicate

import (
	"crypto/sha256"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/control/state"
)

// MaxPieceBytes is the maximum number of bytes that one message carries.
const MaxPieceBytes = 128 << 10

// MaxConfigBytes is the maximum size of a configuration.
const MaxConfigBytes = 7 << 20

// Errors of a transfer. After any of them the transfer must be restarted, with another replica if there is one.
var (
	ErrUnexpectedPiece = errors.New("replicate: received a piece that was not requested")
	ErrTooLarge        = errors.New("replicate: configuration is empty or exceeds the maximum size")
	ErrDigestMismatch  = errors.New("replicate: digest of the received configuration does not match")
)

// Request asks for a piece of a configuration.
type Request struct {
	Digest state.Digest
	Offset int // in bytes
}

// Piece is a part of the bytes of a configuration.
type Piece struct {
	Digest state.Digest
	Offset int
	Total  int // size of the whole configuration in bytes
	Bytes  []byte
}

// CutPiece answers a request from the bytes of the whole configuration. It returns false if the offset lies outside of
// them.
func CutPiece(r Request, whole []byte) (Piece, bool) {
	if r.Offset < 0 || r.Offset >= len(whole) {
		return Piece{}, false
	}
	end := min(len(whole), r.Offset+MaxPieceBytes)
	return Piece{Digest: r.Digest, Offset: r.Offset, Total: len(whole), Bytes: whole[r.Offset:end]}, true
}

// Transfer assembles a configuration from its pieces. It buffers at most MaxConfigBytes.
type Transfer struct {
	id       state.ConfigID
	received []byte
	total    int // size of the whole configuration in bytes; 0 before the first piece
}

// NewTransfer starts the transfer of a configuration.
func NewTransfer(id state.ConfigID) *Transfer { return &Transfer{id: id} }

// NextRequest returns the request for the next piece.
func (t *Transfer) NextRequest() Request {
	return Request{Digest: t.id.Digest, Offset: len(t.received)}
}

// AddPiece adds the piece that was requested last. It returns the whole configuration once it is complete and its
// digest matches, and nil before. An error ends the transfer.
func (t *Transfer) AddPiece(p Piece) (whole []byte, err error) {
	switch {
	case p.Total <= 0 || p.Total > MaxConfigBytes:
		return nil, ErrTooLarge
	case p.Digest != t.id.Digest || p.Offset != len(t.received) || len(p.Bytes) == 0 || len(p.Bytes) > MaxPieceBytes:
		return nil, ErrUnexpectedPiece
	case t.total != 0 && p.Total != t.total || p.Offset+len(p.Bytes) > p.Total:
		return nil, ErrUnexpectedPiece
	}
	t.total = p.Total
	t.received = append(t.received, p.Bytes...)
	if len(t.received) < t.total {
		return nil, nil
	}
	if sha256.Sum256(t.received) != t.id.Digest {
		return nil, ErrDigestMismatch
	}
	return t.received, nil
}
