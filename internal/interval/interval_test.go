package interval

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

func TestAfterZeroIsDueWithoutATimer(t *testing.T) {
	elapsed, stop := After(0)
	defer stop()
	select {
	case <-elapsed:
	default:
		t.Fatal("After(0) did not send immediately")
	}
}

func TestSleepEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		began := time.Now()
		quicktest.Assert(t, Sleep(ctx, 400*time.Millisecond), quicktest.IsTrue)
		quicktest.Assert(t, Sleep(ctx, time.Minute), quicktest.IsFalse)
		quicktest.Assert(t, time.Since(began), quicktest.Equals, time.Second)
	})
}

func TestEveryOrWokenIsWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		wake := make(chan struct{}, 1)
		wake <- struct{}{}
		calls := 0
		EveryOrWoken(ctx, time.Minute, wake, func(context.Context) {
			if calls++; calls == 2 {
				cancel()
			}
		})
		quicktest.Assert(t, calls, quicktest.Equals, 2)
	})
}
