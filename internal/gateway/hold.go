package gateway

import "time"

// holdEnd returns the time until which the request may wait for a server that responds within the objective.
func (c *call) holdEnd() time.Time {
	return c.req.ReceivedAt.Add(time.Duration(maxHoldShare * float64(c.route.Objective)))
}

// noServerError reports that not even the best server, if there is one, can respond in time.
func (c *call) noServerError(best choice) error {
	return &NoServerError{Service: c.service.Name, Expected: best.expected, Registered: len(c.candidates())}
}

// checkTurnedAway returns a NoServerError if all servers want no new requests until after the hold time.
func (c *call) checkTurnedAway(holdEnd time.Time) error {
	if freeAt, away := c.allTurnAway(time.Now()); away && (freeAt.After(holdEnd) || freeAt.IsZero()) {
		return &NoServerError{Service: c.service.Name, Registered: len(c.candidates()), FreeIn: max(0, time.Until(freeAt))}
	}
	return nil
}
