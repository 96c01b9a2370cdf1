package gateway

import (
	"context"
	"sync"
)

// watchDown calls onDown when the server goes down, if allowed returns true then. stop ends the watch and waits for
// its goroutine.
func watchDown(ctx context.Context, s *server, allowed func() bool, onDown func()) (stop func()) {
	done := make(chan struct{})
	down := s.downSignal()
	var watch sync.WaitGroup
	watch.Go(func() {
		select {
		case <-done:
		case <-ctx.Done():
		case <-down:
			if allowed() {
				onDown()
			}
		}
	})
	return func() {
		close(done)
		watch.Wait()
	}
}
