package core_test

import (
	"testing"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

func TestPiecesRoundUp(t *testing.T) {
	is := is.New(t)
	is.Equal(core.Tokens(0).Pieces(), 0)
	is.Equal(core.Tokens(1).Pieces(), 1)
	is.Equal(core.PieceTokens.Pieces(), 1)
	is.Equal((core.PieceTokens + 1).Pieces(), 2)
}
