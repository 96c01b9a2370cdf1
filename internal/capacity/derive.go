package capacity

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/slots/slotspb"
)

// hostsNeeded derives the number of entry hosts.
func hostsNeeded(fl Fleet) []row {
	perCall := fl.LocalCPU + fl.RemoteCPU
	return []row{
		{"processor time of a request, slot owned by the same host", unit(fl.LocalCPU*1e6, "µs"), "", "slope of `" + requestOne + "`"},
		{"added on both hosts by acquiring it from another", unit(fl.RemoteCPU*1e6, "µs"), "", fmt.Sprintf("(slope of `%s` − slope of `%s`) / %v", requestFour, requestOne, remoteShare)},
		{"cores for all calls", unit(fl.Cores, "cores"), "", fmt.Sprintf("%d/s × %s µs", calls, number(perCall*1e6))},
		{"entry hosts", unit(fl.Hosts, "hosts"), "", fmt.Sprintf("%s cores / (%d cores × %v busy), rounded up to %s in each of %d data centres", number(fl.Cores), hostCores, hostBusy, number(fl.PerSite), sites)},
		{"calls a host", unit(calls/fl.Hosts, "/s"), "", "calls / hosts"},
		{"slot groups owned by a host, at most", number(fl.groups()), "", fmt.Sprintf("%d services / hosts of a data centre", services)},
		{"added time over all levels at the limit of one", unit(depth*addedMillis, "ms"), "", fmt.Sprintf("%d × %v ms", depth, addedMillis)},
	}
}

// controlBudget derives what a host spends on control, against the limits.
func controlBudget(f *Figures, fl Fleet) []row {
	return append(append(processorBudget(f, fl), memoryBudget(f, fl)...), bytesBudget(f, fl)...)
}

func processorBudget(f *Figures, fl Fleet) []row {
	idle := f.slope(idleStore).Largest().Y
	members := max(0, f.slope(memberCPU).Fit().At(fl.Hosts))
	revisions := percent * f.slope(switchTime).Largest().Y / 1000 * changesADay / day
	return []row{
		{"processor: one idle host, 6,100 targets", unit(idle, "%"), "", "measured, `" + idleStore + "`"},
		{"processor: membership", unit(members, "%"), "", "line of `" + memberCPU + "` at " + number(fl.Hosts) + " hosts"},
		{"processor: switching revisions, at most", unit(revisions, "%"), "", fmt.Sprintf("`%s` × %d a day", switchTime, changesADay)},
		{"**processor, sum**", unit(idle+members+revisions, "%"), verdict(idle+members+revisions, controlPercent, "% of a core"), "derived"},
	}
}

func memoryBudget(f *Figures, fl Fleet) []row {
	idle := f.slope(memoryStore).Largest().Y
	hosts := max(0, f.slope(memoryHosts).Fit().Slope*fl.Hosts)
	traffic := max(0, f.slope(memoryRate).Fit().Slope*calls/fl.Hosts)
	return []row{
		{"memory: idle, 6,100 targets", unit(idle, "MB"), "", "measured, `" + memoryStore + "`"},
		{"memory: sessions and members", unit(hosts, "MB"), "", "slope of `" + memoryHosts + "` × " + number(fl.Hosts) + " hosts"},
		{"memory: requests", unit(traffic, "MB"), "", "slope of `" + memoryRate + "` × calls a host"},
		{"**memory, sum**", unit(idle+hosts+traffic, "MB"), verdict(idle+hosts+traffic, controlMemory, "MB"), "derived; the limit is for control, the sum has the requests in it"},
	}
}

func bytesBudget(f *Figures, fl Fleet) []row {
	members := 2 * max(0, f.slope(memberScripted).Fit().At(fl.Hosts))
	revisions := f.slope(revisionTargets).Largest().Y
	pressed := fl.groups() * pressedServices / services
	fills := 2 * fillPollsASecond * pressed * fillBytes()
	line := f.slope(idleBytes).Fit()
	return []row{
		{"bytes: membership, sent and received", unit(members, "B/s"), "", "2 × line of `" + memberScripted + "`"},
		{"bytes: revisions, 6,100 targets, 16 hosts", unit(revisions, "B/s"), "", "measured, `" + revisionTargets + "`"},
		{"bytes: fills of groups, without frames", unit(fills, "B/s"), "", fmt.Sprintf("2 × %d polls/s × %s groups of %d services under pressure × %s B; none while no service is", fillPollsASecond, number(pressed), pressedServices, number(fillBytes()))},
		{"**bytes, sum**", unit(members+revisions+fills, "B/s"), verdict(members+revisions+fills, controlBytes, "B/s"), "derived"},
		{"bytes: all idle messages of today's build", unit(line.At(fl.Hosts), "B/s"), verdict(line.At(fl.Hosts), controlBytes, "B/s"), "line of `" + idleBytes + "`, extrapolated from 16 to " + number(fl.Hosts) + " hosts"},
	}
}

// fillBytes is the size of one group's fill in a message, in bytes.
func fillBytes() float64 {
	fill := &slotspb.Fill{Service: "service-100", Site: "region-1-a", Targets: 38, Slots: 228, Busy: 150, Waiting: 10, EstimatedWaitNs: 5_000_000}
	const tagAndLength = 2
	return float64(proto.Size(fill) + tagAndLength)
}

// verdict compares a value with its limit.
func verdict(v, limit float64, name string) string {
	if v <= limit {
		return fmt.Sprintf("%s %s: met", number(limit), name)
	}
	return fmt.Sprintf("%s %s: **missed by a factor of %s**", number(limit), name, number(v/limit))
}

// delays derives times against their limits. Distance comes on top.
func delays(f *Figures) []row {
	spread := f.slope(spreadHosts).Largest().Y + f.slope(spreadTargets).Largest().Y
	stream := f.slope(peerStream).Largest().Y / 1000
	return []row{
		{"acceptance to in force, 400 hosts, 6,100 targets", unit(spread, "ms"), verdict(spread, inForceMillis, "ms"), fmt.Sprintf("`%s` + `%s` at their greatest sizes", spreadHosts, spreadTargets)},
		{"slot from another host, mean, part of the time added", unit(stream, "ms"), verdict(stream, addedMillis, "ms"), "measured, `" + peerStream + "`"},
		{"the same over all levels", unit(depth*stream, "ms"), verdict(depth*stream, depth*addedMillis, "ms"), fmt.Sprintf("× %d", depth)},
	}
}

// storeLoad derives the calls to the key-value service.
func storeLoad(f *Figures, fl Fleet) []row {
	idle := f.slope(storeIdle).Largest().Y
	changes := f.slope(storeCalls).Largest().Y * changesADay / day
	starts := fl.entryRestarts() * readsAColdStart / day
	return []row{
		{"waiting watches", number(watchersARegion * regions), "", fmt.Sprintf("%d a region", watchersARegion)},
		{"calls without changes", unit(idle, "/s"), verdict(idle, storeReads, "/s"), "measured, `" + storeIdle + "` at 400 hosts in 5 regions"},
		{"calls for changes, acceptance with its writes and spread", unit(changes, "/s"), verdict(changes, storeReads, "/s"), fmt.Sprintf("`%s` at 400 hosts × %d a day", storeCalls, changesADay)},
		{"of these writes of acceptance", unit(writesAChange*changesADay/float64(day), "/s"), verdict(writesAChange*changesADay/float64(day), storeWrites, "/s"), fmt.Sprintf("%d × %d a day: pack, manifest, head", writesAChange, changesADay)},
		{"reads of restarts, if none found its configuration at another host", unit(starts, "/s"), verdict(starts, storeReads, "/s"), fmt.Sprintf("%s entry hosts a day × %d reads", number(fl.entryRestarts()), readsAColdStart)},
		{"all hosts start at once and none has the configuration", unit(fl.Hosts*readsAColdStart/storeReads, "s"), "", fmt.Sprintf("%s hosts × %d reads at %d/s", number(fl.Hosts), readsAColdStart, storeReads)},
	}
}
