package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestWorkThatIsLostWithItsWorker(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		d    departure
		want bool
	}{
		{"half done in a second, 0.9 s more to do", departure{worked: 1000 * ms, share: 0.5, left: 1800 * ms}, false},
		{"a fifth done in a second, 3.8 s more at least", departure{worked: 1000 * ms, share: 0.2, left: 1800 * ms}, true},
		{"it would end right when the worker leaves", departure{worked: 1000 * ms, share: 0.34, left: 1800 * ms}, false},
		{"told long ago", departure{worked: 1000 * ms, share: 0.2, since: 1500 * ms, left: 2400 * ms}, false},
		{"just begun", departure{worked: 60 * ms, share: 0, left: 1800 * ms}, true},
		{"just begun, a short one perhaps", departure{worked: 15 * ms, share: 0, left: 1800 * ms}, false},
		{"a gang that waits for a member", departure{worked: 900 * ms, share: 0, left: 1800 * ms}, false},
		{"it keeps its state", departure{worked: 1000 * ms, share: 0.2, left: 1800 * ms, keeps: true}, false},
		{"done", departure{worked: 1000 * ms, share: 1, left: 0}, false},
		{"nothing told", departure{left: 10 * ms}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { quicktest.Check(t, test.d.isLost(), quicktest.Equals, test.want) })
	}
}
