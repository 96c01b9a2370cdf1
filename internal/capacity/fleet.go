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

// remoteAcquireShare is the share of requests that acquire their slot from another host in the measurement
// with four hosts.
const remoteAcquireShare = 0.5

// EstimateFleet works out the fleet. All requests are taken to acquire their slot from another host.
func EstimateFleet(f *Figures) Fleet {
	one := f.seriesByID(requestOneHost).Fit().Slope / percent
	four := f.seriesByID(requestFourHosts).Fit().Slope / percent
	fl := Fleet{LocalCPU: one, RemoteCPU: max(0, (four-one)/remoteAcquireShare)}
	fl.Cores = callsPerSecond * (fl.LocalCPU + fl.RemoteCPU)
	fl.PerSite = max(1, math.Ceil(fl.Cores/(hostCores*targetUtilization)/sites))
	fl.Hosts = fl.PerSite * sites
	fl.PerRegion = math.Ceil(fl.Hosts / regions)
	return fl
}

// utilizationAfterLoss returns the share of a host's cores that requests use after the loss of a share of the
// fleet.
func (fl Fleet) utilizationAfterLoss(lost float64) float64 {
	return fl.Cores / (fl.Hosts * hostCores * (1 - lost))
}

// groupsPerHost returns the slot groupsPerHost that a host owns when each service has targets in each data centre.
func (fl Fleet) groupsPerHost() float64 { return services / fl.PerSite }

// hostRestartsPerDay returns the entry hosts restarted or replaced a day, when restarts spread evenly over
// targets and entry hosts.
func (fl Fleet) hostRestartsPerDay() float64 { return restartsPerDay * fl.Hosts / (targets + fl.Hosts) }
