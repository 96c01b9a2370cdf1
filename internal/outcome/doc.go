// Package outcome implements the state machine that determines the result of a request from its
// attempts. A request ends as Answered, NotRun or Unknown. Users of the package can't set NotRun:
// it is derived from the attempts. Deriving it seals the request, so no attempt can send a byte
// afterwards.
package outcome
