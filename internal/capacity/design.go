package capacity

// Parameters and limits of the design size.
const (
	services                 = 160
	callsPerSecond           = 330_000
	callDepth                = 27 // levels of nested calls, each through the balancer
	maxAddedMillis           = 0.91
	regions                  = 5
	sites                    = 17
	changesPerDay            = 9600
	restartsPerDay           = 1600
	failuresPerDay           = 13
	maxControlCPUPercent     = 2.1 // of one core
	maxControlMemoryMB       = 128
	maxControlBytesPerSecond = 10_000
	secondsPerDay            = 86_400
	maxStoreReadsPerSecond   = 2000
	maxStoreWritesPerSecond  = 300 // lower end of several hundred
	maxInForceMillis         = 6000
	watchersPerRegion        = 2
)

// Assumptions about the entry hosts that the design size doesn't specify.
const (
	hostCores = 4
	// hostUtilization is the fraction of a host's cores that requests may use in normal operation.
	hostUtilization = 0.5
	// racksPerSite is the number of racks over which the entry hosts of a data centre are distributed.
	racksPerSite = 4
)

// Constants of the protocols. They mirror the packages that implement them.
const (
	fillPollsPerSecond = 5
	// maxServicesPerPoll is the maximum number of services in one request for fills.
	maxServicesPerPoll   = 16
	otherRegionPollShare = 0.25
	writesPerChange      = 3  // pack, manifest, head
	readsPerColdStart    = 35 // head, manifest, up to 32 packs and the first of the generation
)
