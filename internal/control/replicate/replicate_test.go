package replicate

import (
	"crypto/sha256"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/control/state"
)

func randomConfig(n int) ([]byte, state.ConfigID) {
	text := make([]byte, n)
	rnd := rand.New(rand.NewPCG(uint64(n), 1))
	for i := range text {
		text[i] = byte(rnd.Uint32())
	}
	return text, state.ConfigID{Gen: 1, Digest: sha256.Sum256(text)}
}

func TestTransfer(t *testing.T) {
	for _, n := range []int{1, MaxPieceBytes - 1, MaxPieceBytes, MaxPieceBytes + 1, 5*MaxPieceBytes + 7, MaxConfigBytes} {
		text, id := randomConfig(n)
		transfer := NewTransfer(id)
		for pieces := 1; ; pieces++ {
			p, ok := CutPiece(transfer.NextRequest(), text)
			assert.Assert(t, ok && len(p.Bytes) <= MaxPieceBytes)
			got, err := transfer.AddPiece(p)
			assert.NilError(t, err)
			if got != nil {
				assert.Assert(t, string(got) == string(text))
				assert.Equal(t, pieces, (n+MaxPieceBytes-1)/MaxPieceBytes)
				break
			}
		}
	}
}

// A piece that is corrupt, of another configuration, repeated, out of order or too large ends the transfer.
func TestInvalidPieces(t *testing.T) {
	text, id := randomConfig(3 * MaxPieceBytes)
	other, _ := randomConfig(3*MaxPieceBytes + 1)
	for name, x := range map[string]struct {
		change func(p Piece, k int) Piece
		err    error
	}{
		"a byte differs":   {func(p Piece, k int) Piece { return flipBit(p, k == 1) }, ErrDigestMismatch},
		"another's digest": {func(p Piece, k int) Piece { p.Digest[0]++; return p }, ErrUnexpectedPiece},
		"another's bytes": {func(p Piece, k int) Piece {
			q, _ := CutPiece(Request{p.Digest, p.Offset}, other[:len(text)])
			return q
		}, ErrDigestMismatch},
		"doubled":   {func(p Piece, k int) Piece { p.Offset = 0; return p }, ErrUnexpectedPiece},
		"empty":     {func(p Piece, k int) Piece { p.Bytes = nil; return p }, ErrUnexpectedPiece},
		"too large": {func(p Piece, k int) Piece { p.Bytes = make([]byte, MaxPieceBytes+1); return p }, ErrUnexpectedPiece},
		"no end":    {func(p Piece, k int) Piece { p.Total = MaxConfigBytes + 1; return p }, ErrTooLarge},
		"grows":     {func(p Piece, k int) Piece { p.Total += k; return p }, ErrUnexpectedPiece},
	} {
		t.Run(name, func(t *testing.T) {
			transfer := NewTransfer(id)
			for k := range 4 {
				p, ok := CutPiece(transfer.NextRequest(), text)
				assert.Assert(t, ok, name)
				got, err := transfer.AddPiece(x.change(p, k))
				if err != nil {
					assert.Assert(t, err == x.err, "%v", err)
					return
				}
				assert.Assert(t, got == nil)
			}
		})
	}
	_, ok := CutPiece(Request{Offset: len(text)}, text)
	assert.Assert(t, !ok)
	_, ok = CutPiece(Request{Offset: -1}, text)
	assert.Assert(t, !ok)
}

func flipBit(p Piece, apply bool) Piece {
	if !apply {
		return p
	}
	p.Bytes = append([]byte{}, p.Bytes...)
	p.Bytes[7] ^= 1
	return p
}
