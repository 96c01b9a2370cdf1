package coldstart

import "github.com/bilberryline/bilberryline/internal/rendezvous"

// FirstHost returns the host that may send to a cold server: the first one of the rendezvous ranking over the hosts of
// the server's data centre, or over all hosts if there are none.
func FirstHost(server string, ofDataCentre, all []string) string {
	if len(ofDataCentre) == 0 {
		ofDataCentre = all
	}
	// The prefix makes the ranking independent of those of other parts, so that one host doesn't bear all their work.
	return rendezvous.Owner("cold/"+server, ofDataCentre)
}
