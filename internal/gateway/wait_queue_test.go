package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: a crest of demand, in which more requests come than servers have room for. The urgent ones
// go first, and among equals those whose objective ends first.
func TestLineServesUrgentRequestsFirst(t *testing.T) {
	is := is.New(t)
	l := &waitQueue{}
	at := time.Unix(1000, 0)
	lookup := l.add(queueKey{priority: 2, objectiveEnd: at})
	late := l.add(queueKey{priority: 0, objectiveEnd: at.Add(2 * time.Second)})
	early := l.add(queueKey{priority: 0, objectiveEnd: at.Add(time.Second)})
	for _, w := range []*waiter{early, late, lookup} {
		is.True(l.isHead(w))
		l.remove(w)
	}
}

// startWait starts the wait of a waiter and returns a channel that is closed at its end.
func startWait(l *waitQueue, w *waiter) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		l.wait(context.Background(), w, time.Hour)
		close(done)
	}()
	return done
}

func awaitWoken(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("not woken")
	}
}

func TestNextInLineIsWoken(t *testing.T) {
	l := &waitQueue{}
	first := l.add(queueKey{})
	done := startWait(l, l.add(queueKey{priority: 1}))
	l.remove(first)
	awaitWoken(t, done)
}

// Pattern: a crest of demand, in which all slots of a service are taken. A slot that an answer frees
// goes to the first request in line at once, not at its next look.
func TestAnswerLetsTheFirstInLineLookAgain(t *testing.T) {
	address, _ := countingServer(t, func() {})
	c := testCall(t, address, true)
	l := c.g.queues.get(c.service.Name)
	done := startWait(l, l.add(queueKey{}))
	is.New(t).Equal(c.run(t.Context()).Status, http.StatusOK)
	awaitWoken(t, done)
}
