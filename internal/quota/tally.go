package quota

import (
	"errors"
	"syscall"
	"time"

	"github.com/bilberryline/bilberryline/internal/peer"
)

// tally counts the answers to a claim.
type tally struct {
	supported   int                    // hosts that support the claim
	conditional int                    // those of them whose earlier incarnation may have voted for another host
	answers     map[string]claimAnswer // of the hosts that answered
	acting      bool                   // a host is the coordinator, or may become it by an earlier claim
	silent      bool                   // a host neither answered nor refused the connection
	failed      int                    // hosts that didn't answer
	youngest    time.Duration          // time since the latest start among the hosts that answered
	older       []string               // hosts of a build without quotas
}

func newTally() *tally { return &tally{answers: make(map[string]claimAnswer)} }

// add adds the answer of a host, or the error in its place.
func (t *tally) add(host string, a claimAnswer, err error) {
	if errors.Is(err, peer.ErrNoHandler) {
		t.older = append(t.older, host)
		return
	}
	if err != nil {
		t.failed++
		t.silent = t.silent || !errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	if len(t.answers) == 0 || a.age < t.youngest {
		t.youngest = a.age
	}
	t.answers[host] = a
	t.acting = t.acting || a.acting
	if a.supported {
		t.supported++
	}
	if a.supported && a.conditional {
		t.conditional++
	}
}

// hasAnswered reports whether a host has answered.
func (t *tally) hasAnswered(host string) bool {
	_, ok := t.answers[host]
	return ok
}

// unanimous reports whether each host that answered supports the claim.
func (t *tally) unanimous() bool { return t.supported == len(t.answers) }

// elects reports whether the answers of the voters elect the candidate. Votes of hosts that have just started count only if
// the coordinator that their earlier incarnations may have elected is known not to exist: each host of the data centre
// says that it is none, or doesn't run. Thus a fleet that starts as a whole has coordinators as soon as its hosts run.
func (t *tally) elects(voters, unlisted int) bool {
	total := voters + unlisted
	if 2*(t.supported-t.conditional) > total {
		return true
	}
	return 2*t.supported > total && unlisted == 0 && !t.acting && !t.silent
}

// idle returns the time before the claim in which the data centre certainly had no coordinator: if all hosts have just
// started, since the latest start. Otherwise it is zero.
func (t *tally) idle() time.Duration {
	if t.failed > 0 || t.conditional < len(t.answers) {
		return 0
	}
	return t.youngest
}

// claimAnswer is the answer of one host to a claim.
type claimAnswer struct {
	supported, conditional, acting bool
	age                            time.Duration // time since the host started
}
