package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/dedupe"
)

// registerWith runs a registration whose attempts return the verdicts in turn, the last one repeatedly. It returns the
// verdict and the number of attempts.
func registerWith(t *testing.T, verdicts ...dedupe.Verdict) (dedupe.Verdict, int) {
	t.Helper()
	attempts := 0
	r := keyRegistration{
		begin: func() (*dedupe.Ticket, dedupe.Verdict, error) {
			v := verdicts[min(attempts, len(verdicts)-1)]
			attempts++
			return nil, v, nil
		},
		until: time.Now().Add(maxRegistrationWait),
	}
	_, v, err := r.run(context.Background())
	is.New(t).NoErr(err)
	return v, attempts
}

// A caller that sends a key again through another host right after its response arrives there before the report of the
// result has reached the holders of the key. It was told 409 Conflict.
func TestResendBeforeReportGetsRecordedResponse(t *testing.T) {
	is := is.New(t)
	inProgress := dedupe.Verdict{Kind: dedupe.InProgress}
	v, attempts := registerWith(t, inProgress, inProgress, dedupe.Verdict{Kind: dedupe.Replay})
	is.Equal(v.Kind, dedupe.Replay)
	is.Equal(attempts, 3)
}

func TestKeyRegistrationEndsWithFinalVerdict(t *testing.T) {
	is := is.New(t)
	v, attempts := registerWith(t, dedupe.Verdict{Kind: dedupe.Unavailable, Reason: dedupe.ReasonHandover}, dedupe.Verdict{Kind: dedupe.Mismatch})
	is.Equal(v.Kind, dedupe.Mismatch)
	is.Equal(attempts, 2)
	v, _ = registerWith(t, dedupe.Verdict{Kind: dedupe.InProgress}) // a long run is not waited for to its end
	is.Equal(v.Kind, dedupe.InProgress)
	_, attempts = registerWith(t, dedupe.Verdict{Kind: dedupe.Unavailable, Reason: dedupe.ReasonFull})
	is.Equal(attempts, 1)
}
