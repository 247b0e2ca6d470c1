package barn

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A long list is read less often, each page being a call, and a silent reader is still followed within 2.5 s, which
// with the next reading stays well under the 4 s for which a draining server may be sent to there.
func TestLongListIsReadLessOften(t *testing.T) {
	const ms = time.Millisecond
	assert.Equal(t, Period(1, 44), 500*ms)
	long := Period(6, 550)
	assert.Equal(t, long, 1200*ms)
	assert.Equal(t, Due(0, long, 10*time.Second, 0), 11200*ms)
	assert.Assert(t, Due(1, long, 0, 10*time.Second) <= 12500*ms)
	assert.Assert(t, Due(1, 500*ms, 0, 10*time.Second) == 11700*ms)
}
