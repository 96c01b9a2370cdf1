package capacity

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/slots/slotspb"
)

// hostRows returns the derivation of the number of entry hosts.
func hostRows(fl Fleet) []row {
	perCall := fl.LocalCPU + fl.RemoteCPU
	return []row{
		{"processor time of a request, slot owned by the same host", withUnit(fl.LocalCPU*1e6, "µs"), "", "slope of `" + requestOneHost + "`"},
		{"added on both hosts by acquiring it from another", withUnit(fl.RemoteCPU*1e6, "µs"), "", fmt.Sprintf("(slope of `%s` − slope of `%s`) / %v", requestFourHosts, requestOneHost, remoteAcquireShare)},
		{"cores for all calls", withUnit(fl.Cores, "cores"), "", fmt.Sprintf("%d/s × %s µs", callsPerSecond, formatNumber(perCall*1e6))},
		{"entry hosts", withUnit(fl.Hosts, "hosts"), "", fmt.Sprintf("%s cores / (%d cores × %v busy), rounded up to %s in each of %d data centres", formatNumber(fl.Cores), hostCores, hostUtilization, formatNumber(fl.PerSite), sites)},
		{"calls a host", withUnit(callsPerSecond/fl.Hosts, "/s"), "", "calls / hosts"},
		{"slot groups owned by a host, at most", formatNumber(fl.groupsPerHost()), "", fmt.Sprintf("%d services / hosts of a data centre", services)},
		{"added time over all levels at the limit of one", withUnit(callDepth*maxAddedMillis, "ms"), "", fmt.Sprintf("%d × %v ms", callDepth, maxAddedMillis)},
	}
}

// controlRows returns the CPU time, memory and bytes that a host spends on control, with their limits.
func controlRows(f *Figures, fl Fleet) []row {
	return append(append(processorRows(f, fl), memoryRows(f, fl)...), byteRows(f, fl)...)
}

func processorRows(f *Figures, fl Fleet) []row {
	idle := f.seriesByID(idleTargetsStore).Largest().Y
	members := max(0, f.seriesByID(memberCPU).Fit().At(fl.Hosts))
	revisions := percent * f.seriesByID(switchTime).Largest().Y / 1000 * changesPerDay / secondsPerDay
	return []row{
		{"processor: one idle host, 6,100 targets", withUnit(idle, "%"), "", "measured, `" + idleTargetsStore + "`"},
		{"processor: membership", withUnit(members, "%"), "", "line of `" + memberCPU + "` at " + formatNumber(fl.Hosts) + " hosts"},
		{"processor: switching revisions, at most", withUnit(revisions, "%"), "", fmt.Sprintf("`%s` × %d a day", switchTime, changesPerDay)},
		{"**processor, sum**", withUnit(idle+members+revisions, "%"), compareWithLimit(idle+members+revisions, maxControlCPUPercent, "% of a core"), "derived"},
	}
}

func memoryRows(f *Figures, fl Fleet) []row {
	idle := f.seriesByID(memoryTargetsStore).Largest().Y
	hosts := max(0, f.seriesByID(memoryHosts).Fit().Slope*fl.Hosts)
	traffic := max(0, f.seriesByID(memoryRate).Fit().Slope*callsPerSecond/fl.Hosts)
	return []row{
		{"memory: idle, 6,100 targets", withUnit(idle, "MB"), "", "measured, `" + memoryTargetsStore + "`"},
		{"memory: sessions and members", withUnit(hosts, "MB"), "", "slope of `" + memoryHosts + "` × " + formatNumber(fl.Hosts) + " hosts"},
		{"memory: requests", withUnit(traffic, "MB"), "", "slope of `" + memoryRate + "` × calls a host"},
		{"**memory, sum**", withUnit(idle+hosts+traffic, "MB"), compareWithLimit(idle+hosts+traffic, maxControlMemoryMB, "MB"), "derived; the limit is for control, the sum has the requests in it"},
	}
}

func byteRows(f *Figures, fl Fleet) []row {
	members := 2 * max(0, f.seriesByID(memberScripted).Fit().At(fl.Hosts))
	revisions := f.seriesByID(revisionTargets).Largest().Y
	polledGroups := fl.groupsPerHost() * maxServicesPerPoll / services
	fills := 2 * fillPollsPerSecond * polledGroups * encodedFillSize()
	line := f.seriesByID(idleBytes).Fit()
	return []row{
		{"bytes: membership, sent and received", withUnit(members, "B/s"), "", "2 × line of `" + memberScripted + "`"},
		{"bytes: revisions, 6,100 targets, 16 hosts", withUnit(revisions, "B/s"), "", "measured, `" + revisionTargets + "`"},
		{"bytes: fills of groups, without frames", withUnit(fills, "B/s"), "", fmt.Sprintf("2 × %d polls/s × %s groups of %d services under pressure × %s B; none while no service is", fillPollsPerSecond, formatNumber(polledGroups), maxServicesPerPoll, formatNumber(encodedFillSize()))},
		{"**bytes, sum**", withUnit(members+revisions+fills, "B/s"), compareWithLimit(members+revisions+fills, maxControlBytesPerSecond, "B/s"), "derived"},
		{"bytes: all idle messages of today's build", withUnit(line.At(fl.Hosts), "B/s"), compareWithLimit(line.At(fl.Hosts), maxControlBytesPerSecond, "B/s"), "line of `" + idleBytes + "`, extrapolated from 16 to " + formatNumber(fl.Hosts) + " hosts"},
	}
}

// encodedFillSize returns the encoded size of one group's fill in a message, in bytes.
func encodedFillSize() float64 {
	fill := &slotspb.Fill{Service: "service-100", Site: "region-1-a", Targets: 38, Slots: 228, Busy: 150, Waiting: 10, EstimatedWaitNs: 5_000_000}
	const tagAndLength = 2
	return float64(proto.Size(fill) + tagAndLength)
}

// compareWithLimit returns the text of the limit column: the limit and whether v meets it.
func compareWithLimit(v, limit float64, name string) string {
	if v <= limit {
		return fmt.Sprintf("%s %s: met", formatNumber(limit), name)
	}
	return fmt.Sprintf("%s %s: **missed by a factor of %s**", formatNumber(limit), name, formatNumber(v/limit))
}

// delayRows returns the delays on loopback with their limits. They don't include network distance.
func delayRows(f *Figures) []row {
	spread := f.seriesByID(spreadHosts).Largest().Y + f.seriesByID(spreadTargets).Largest().Y
	stream := f.seriesByID(peerStream).Largest().Y / 1000
	return []row{
		{"acceptance to in force, 400 hosts, 6,100 targets", withUnit(spread, "ms"), compareWithLimit(spread, maxInForceMillis, "ms"), fmt.Sprintf("`%s` + `%s` at their greatest sizes", spreadHosts, spreadTargets)},
		{"slot from another host, mean, part of the time added", withUnit(stream, "ms"), compareWithLimit(stream, maxAddedMillis, "ms"), "measured, `" + peerStream + "`"},
		{"the same over all levels", withUnit(callDepth*stream, "ms"), compareWithLimit(callDepth*stream, callDepth*maxAddedMillis, "ms"), fmt.Sprintf("× %d", callDepth)},
	}
}

// storeRows returns the rates of calls to the key-value service with their limits.
func storeRows(f *Figures, fl Fleet) []row {
	idle := f.seriesByID(storeIdle).Largest().Y
	changes := f.seriesByID(storeCalls).Largest().Y * changesPerDay / secondsPerDay
	starts := fl.hostRestartsPerDay() * readsPerColdStart / secondsPerDay
	return []row{
		{"waiting watches", formatNumber(watchersPerRegion * regions), "", fmt.Sprintf("%d a region", watchersPerRegion)},
		{"calls without changes", withUnit(idle, "/s"), compareWithLimit(idle, maxStoreReadsPerSecond, "/s"), "measured, `" + storeIdle + "` at 400 hosts in 5 regions"},
		{"calls for changes, acceptance with its writes and spread", withUnit(changes, "/s"), compareWithLimit(changes, maxStoreReadsPerSecond, "/s"), fmt.Sprintf("`%s` at 400 hosts × %d a day", storeCalls, changesPerDay)},
		{"of these writes of acceptance", withUnit(writesPerChange*changesPerDay/float64(secondsPerDay), "/s"), compareWithLimit(writesPerChange*changesPerDay/float64(secondsPerDay), maxStoreWritesPerSecond, "/s"), fmt.Sprintf("%d × %d a day: pack, manifest, head", writesPerChange, changesPerDay)},
		{"reads of restarts, if none found its configuration at another host", withUnit(starts, "/s"), compareWithLimit(starts, maxStoreReadsPerSecond, "/s"), fmt.Sprintf("%s entry hosts a day × %d reads", formatNumber(fl.hostRestartsPerDay()), readsPerColdStart)},
		{"all hosts start at once and none has the configuration", withUnit(fl.Hosts*readsPerColdStart/maxStoreReadsPerSecond, "s"), "", fmt.Sprintf("%s hosts × %d reads at %d/s", formatNumber(fl.Hosts), readsPerColdStart, maxStoreReadsPerSecond)},
	}
}
