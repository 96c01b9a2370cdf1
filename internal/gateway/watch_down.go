package gateway

import (
	"context"
	"sync"
)

// watchDown calls leave once when the server is taken for lost and may allows it. The function that it
// returns ends the watch and waits for its end.
func watchDown(ctx context.Context, s *server, may func() bool, leave func()) (stop func()) {
	done := make(chan struct{})
	lost := s.downSignal()
	var watch sync.WaitGroup
	watch.Go(func() {
		select {
		case <-done:
		case <-ctx.Done():
		case <-lost:
			if may() {
				leave()
			}
		}
	})
	return func() {
		close(done)
		watch.Wait()
	}
}
