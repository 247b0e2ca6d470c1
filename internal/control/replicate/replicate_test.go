package replicate

import (
	"crypto/sha256"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/control/state"
)

func whole(n int) ([]byte, state.ConfigID) {
	text := make([]byte, n)
	rnd := rand.New(rand.NewPCG(uint64(n), 1))
	for i := range text {
		text[i] = byte(rnd.Uint32())
	}
	return text, state.ConfigID{Gen: 1, Digest: sha256.Sum256(text)}
}

func TestTransfer(t *testing.T) {
	for _, n := range []int{1, PieceSize - 1, PieceSize, PieceSize + 1, 5*PieceSize + 7, MostBytes} {
		text, id := whole(n)
		transfer := Begin(id)
		for pieces := 1; ; pieces++ {
			p, ok := Cut(transfer.Next(), text)
			assert.Assert(t, ok && len(p.Bytes) <= PieceSize)
			got, err := transfer.Take(p)
			assert.NilError(t, err)
			if got != nil {
				assert.Assert(t, string(got) == string(text))
				assert.Equal(t, pieces, (n+PieceSize-1)/PieceSize)
				break
			}
		}
	}
}

// A piece that is corrupt, of another configuration, repeated, out of order or too large ends the transfer.
func TestSpoiltTransfer(t *testing.T) {
	text, id := whole(3 * PieceSize)
	other, _ := whole(3*PieceSize + 1)
	for name, x := range map[string]struct {
		change func(p Piece, k int) Piece
		err    error
	}{
		"a byte differs":   {func(p Piece, k int) Piece { return spoilt(p, k == 1) }, ErrSpoilt},
		"another's digest": {func(p Piece, k int) Piece { p.Digest[0]++; return p }, ErrPiece},
		"another's bytes": {func(p Piece, k int) Piece {
			q, _ := Cut(Request{p.Digest, p.Offset}, other[:len(text)])
			return q
		}, ErrSpoilt},
		"doubled":   {func(p Piece, k int) Piece { p.Offset = 0; return p }, ErrPiece},
		"empty":     {func(p Piece, k int) Piece { p.Bytes = nil; return p }, ErrPiece},
		"too large": {func(p Piece, k int) Piece { p.Bytes = make([]byte, PieceSize+1); return p }, ErrPiece},
		"no end":    {func(p Piece, k int) Piece { p.Total = MostBytes + 1; return p }, ErrLarge},
		"grows":     {func(p Piece, k int) Piece { p.Total += k; return p }, ErrPiece},
	} {
		t.Run(name, func(t *testing.T) {
			transfer := Begin(id)
			for k := range 4 {
				p, ok := Cut(transfer.Next(), text)
				assert.Assert(t, ok, name)
				got, err := transfer.Take(x.change(p, k))
				if err != nil {
					assert.Assert(t, err == x.err, "%v", err)
					return
				}
				assert.Assert(t, got == nil)
			}
		})
	}
	_, ok := Cut(Request{Offset: len(text)}, text)
	assert.Assert(t, !ok)
	_, ok = Cut(Request{Offset: -1}, text)
	assert.Assert(t, !ok)
}

func spoilt(p Piece, apply bool) Piece {
	if !apply {
		return p
	}
	p.Bytes = append([]byte{}, p.Bytes...)
	p.Bytes[7] ^= 1
	return p
}
