package capacity

import "math"

// Fleet is the number of entry hosts that the design size needs, worked out from the measured
// processor time of a request.
type Fleet struct {
	// LocalCPU is the processor time of a request whose slot the same host owns, RemoteCPU what acquiring it
	// from another host adds on both hosts, in core seconds.
	LocalCPU, RemoteCPU float64
	// Cores is the processor time of all calls, in cores.
	Cores float64
	// Hosts is the number of entry hosts, PerSite and PerRegion those of one data centre and region.
	Hosts, PerSite, PerRegion float64
}

// remoteShare is the share of requests that acquire their slot from another host in the measurement
// with four hosts.
const remoteShare = 0.5

// EstimateFleet works out the fleet. All requests are taken to acquire their slot from another host.
func EstimateFleet(f *Figures) Fleet {
	one := f.slope(requestOne).Fit().Slope / percent
	four := f.slope(requestFour).Fit().Slope / percent
	fl := Fleet{LocalCPU: one, RemoteCPU: max(0, (four-one)/remoteShare)}
	fl.Cores = calls * (fl.LocalCPU + fl.RemoteCPU)
	fl.PerSite = max(1, math.Ceil(fl.Cores/(hostCores*hostBusy)/sites))
	fl.Hosts = fl.PerSite * sites
	fl.PerRegion = math.Ceil(fl.Hosts / regions)
	return fl
}

// busyWithout returns the share of a host's cores that requests use after the loss of a share of the
// fleet.
func (fl Fleet) busyWithout(lost float64) float64 {
	return fl.Cores / (fl.Hosts * hostCores * (1 - lost))
}

// groups returns the slot groups that a host owns when each service has targets in each data centre.
func (fl Fleet) groups() float64 { return services / fl.PerSite }

// entryRestarts returns the entry hosts restarted or replaced a day, when restarts spread evenly over
// targets and entry hosts.
func (fl Fleet) entryRestarts() float64 { return restartsADay * fl.Hosts / (targets + fl.Hosts) }
