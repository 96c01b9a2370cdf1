package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Pattern: a planned stop whose time limit is shorter than the routes' timeouts. A request that can't end before the
// limit belongs on another host; one that can is served.
func TestStopWindowAdmitsWhatFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newStopWindow()
		is.True(w.fits(time.Hour, time.Now())) // not stopping
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		w.begin(ctx)
		is.True(w.isStopping())
		is.True(w.fits(4*time.Second, time.Now()))
		is.True(!w.fits(6*time.Second, time.Now()))
		is.Equal(w.limit(time.Now().Add(time.Minute)), time.Now().Add(5*time.Second))
		is.Equal(w.limit(time.Now().Add(time.Second)), time.Now().Add(time.Second))
		time.Sleep(4 * time.Second)
		is.True(!w.fits(4*time.Second, time.Now()))
		is.NoErr(w.ended.Err())
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(context.Cause(w.ended), error(ErrStopping))
	})
}
