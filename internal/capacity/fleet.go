package capacity

import "math"

// Fleet is the number of entry hosts that the design size needs, derived from the measured CPU time per
// request.
type Fleet struct {
	// LocalCPU is the CPU time of a request whose slot the same host owns. RemoteCPU is the additional
	// CPU time on both hosts if another host owns the slot. Both are in core seconds.
	LocalCPU, RemoteCPU float64
	// Cores is the number of cores that all calls use.
	Cores float64
	// Hosts is the total number of entry hosts, PerSite and PerRegion the number in one data centre and
	// one region.
	Hosts, PerSite, PerRegion float64
}

// remoteAcquireShare is the fraction of requests that acquire their slot from another host in the
// measurement with four hosts.
const remoteAcquireShare = 0.5

// EstimateFleet derives the fleet from the figures. It assumes that every request acquires its slot from
// another host.
func EstimateFleet(f *Figures) Fleet {
	one := f.seriesByID(requestOneHost).Fit().Slope / percent
	four := f.seriesByID(requestFourHosts).Fit().Slope / percent
	fl := Fleet{LocalCPU: one, RemoteCPU: max(0, (four-one)/remoteAcquireShare)}
	fl.Cores = callsPerSecond * (fl.LocalCPU + fl.RemoteCPU)
	fl.PerSite = max(1, math.Ceil(fl.Cores/(hostCores*hostUtilization)/sites))
	fl.Hosts = fl.PerSite * sites
	fl.PerRegion = math.Ceil(fl.Hosts / regions)
	return fl
}

// utilizationAfterLoss returns the fraction of a host's cores that requests use after the fleet has lost the
// given fraction of its hosts.
func (fl Fleet) utilizationAfterLoss(lost float64) float64 {
	return fl.Cores / (fl.Hosts * hostCores * (1 - lost))
}

// groupsPerHost returns the number of slot groups that a host owns if each service has targets in each data
// centre.
func (fl Fleet) groupsPerHost() float64 { return services / fl.PerSite }

// hostRestartsPerDay returns the number of entry hosts restarted or replaced per day, if restarts are
// distributed evenly over targets and entry hosts.
func (fl Fleet) hostRestartsPerDay() float64 { return restartsPerDay * fl.Hosts / (targets + fl.Hosts) }
