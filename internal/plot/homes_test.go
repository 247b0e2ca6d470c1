package plot

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestHomesOf(t *testing.T) {
	p := &Plot{Routes: []Route{{Host: "a", Homes: []string{"n", "s"}}, {Host: "A", Homes: []string{"s", "w"}}, {Host: "a", Public: true},
		{Host: "b", Homes: []string{"n"}}, {Host: "b"}, {Host: "c", Homes: []string{"n"}}, {Host: "c", Homes: []string{"s"}},
		{Host: "e", Homes: []string{"n"}}, {Host: "e"}, {Host: "e"}}}
	assert.DeepEqual(t, p.HomesOf("a"), []string{"s"})
	assert.DeepEqual(t, p.HomesOf("b"), []string{"n"}) // half of its routes are bound
	assert.Equal(t, len(p.HomesOf("e")), 0)            // most of them are not
	assert.Equal(t, len(p.HomesOf("c")), 0)            // no region has both
	assert.Equal(t, len(p.HomesOf("d")), 0)
	assert.DeepEqual(t, p.Routes[0].Homes, []string{"n", "s"})
}
