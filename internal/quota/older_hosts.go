package quota

import "time"

// olderHosts holds the hosts of the data centre that run a build without quotas, each with the time of its first answer
// that says so. Such a host neither votes nor grants tokens. It is no voter during a rolling replacement, in which the data
// centre would have no coordinator before most of its hosts have been replaced.
type olderHosts map[string]time.Time

// update takes the answers to a claim and returns how many hosts are no voters. A host counts as a voter until it has
// run the older build for VoteLifetime, as an earlier process of a newer build may have voted just before. When it is
// replaced after the question, its new process votes conditionally until the votes for the candidate have ended (Ballot.Blank).
func (o *olderHosts) update(hosts []string, askedAt, now time.Time) (nonVoters int) {
	next := make(olderHosts, len(hosts))
	for _, host := range hosts {
		since, known := (*o)[host]
		if !known {
			since = now
		}
		next[host] = since
		if askedAt.Sub(since) >= VoteLifetime {
			nonVoters++
		}
	}
	*o = next
	return nonVoters
}
