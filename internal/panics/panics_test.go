package panics

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestCatchReturnsPanicAsError(t *testing.T) {
	is := is.New(t)
	is.NoErr(Catch(func() {}))
	err := Catch(func() { panic("odd message") })
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Value, "odd message")
	is.True(strings.Contains(err.Error(), "TestCatchReturnsPanicAsError")) // names where
}
