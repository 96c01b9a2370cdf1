package revision

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
)

// linearInput is the input of one operation: a proposal, or a read of the head when change is empty.
type linearInput struct {
	change string
	parent uint64
}

type linearOutput struct {
	// revision is the accepted revision or the one that was read. It is 0 when the proposal conflicted.
	revision uint64
	// change is the newest change that a read returned.
	change string
	// unknown is set when the outcome of a proposal is unknown.
	unknown bool
}

// linearModel returns the sequential model of the acceptor. Its state is the list of accepted changes
// in order, each followed by a comma.
func linearModel() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			return linearStep(state.(string), input.(linearInput), output.(linearOutput))
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return nondeterministic.ToModel()
}

// linearStep returns the states that may follow state after an operation, or nil when the operation's
// output is impossible in state.
func linearStep(state string, in linearInput, out linearOutput) []any {
	list := strings.FieldsFunc(state, func(r rune) bool { return r == ',' })
	newest := ""
	if len(list) > 0 {
		newest = list[len(list)-1]
	}
	accepted := state + in.change + ","
	acceptable := uint64(len(list)) == in.parent
	switch {
	case in.change == "" && (out.revision != uint64(len(list)) || out.change != newest):
		return nil
	case in.change == "":
		return []any{state}
	case out.unknown && acceptable:
		return []any{state, accepted}
	case out.unknown:
		return []any{state}
	case out.revision > 0 && acceptable && out.revision == in.parent+1:
		return []any{accepted}
	case out.revision == 0 && !acceptable:
		return []any{state}
	}
	return nil
}

const (
	linearClients = 5
	linearRounds  = 8
)

// TestAcceptanceIsLinearizable checks histories of concurrent proposals and reads on a store that
// rejects, loses the response to, or delays some writes.
func TestAcceptanceIsLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		history := recordHistory(seed)
		is.True(porcupine.CheckOperations(linearModel(), history))
	}
}

// TestLinearModelRejectsDoubleAcceptance checks that the model detects two changes accepted on the
// same parent.
func TestLinearModelRejectsDoubleAcceptance(t *testing.T) {
	is := is.New(t)
	history := []porcupine.Operation{
		{ClientId: 0, Input: linearInput{change: "a"}, Output: linearOutput{revision: 1}, Call: 0, Return: 5},
		{ClientId: 1, Input: linearInput{change: "b"}, Output: linearOutput{revision: 1}, Call: 1, Return: 6},
	}
	is.True(!porcupine.CheckOperations(linearModel(), history))
}

func recordHistory(seed uint64) []porcupine.Operation {
	kv := newFakeKV()
	faults := rand.New(rand.NewPCG(seed, 7))
	kv.nextFault = func() fault { return fault(max(0, faults.IntN(7)-3)) }
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for client := range linearClients {
		group.Go(func() {
			for round := range linearRounds {
				call := time.Since(start).Nanoseconds()
				in, out := runOperation(kv, seed, client, round)
				end := time.Since(start).Nanoseconds()
				if out.unknown { // the change may take effect at any later time
					end = time.Hour.Nanoseconds()
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: len(history), Input: in, Output: out, Call: call, Return: end})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return history
}

// runOperation makes one proposal or, in every third round, applies the delayed writes and reads the head.
func runOperation(kv *fakeKV, seed uint64, client, round int) (linearInput, linearOutput) {
	a := newTestAcceptor(kv, seed*100+uint64(client*10+round))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if round%3 == 2 {
		kv.applyDelayed()
		head, err := a.Head(context.Background())
		if err != nil {
			panic(err)
		}
		out := linearOutput{revision: head.Revision()}
		if newest := head.Newest(); newest != nil {
			out.change = newest.ChangeID
		}
		return linearInput{}, out
	}
	head, _ := a.Head(context.Background())
	in := linearInput{change: fmt.Sprintf("%d-%d", client, round), parent: head.Revision()}
	r, err := a.Apply(ctx, &Proposal{Tree: markedTree(client*100 + round), Parent: in.parent, ChangeID: in.change})
	var conflict *ConflictError
	switch {
	case err == nil:
		return in, linearOutput{revision: r.Revision}
	case errors.As(err, &conflict):
		return in, linearOutput{}
	}
	return in, linearOutput{unknown: true}
}
