package capacity

// The design size.
const (
	services                 = 160
	callsPerSecond           = 330_000 // calls a second
	callDepth                = 27
	maxAddedMillis           = 0.91
	regions                  = 5
	sites                    = 17
	changesPerDay            = 9600
	restartsPerDay           = 1600
	failuresPerDay           = 13
	maxControlCPUPercent     = 2.1 // % of a core
	maxControlMemoryMB       = 128 // MB
	maxControlBytesPerSecond = 10_000
	secondsPerDay            = 86_400 // seconds
	maxStoreReadsPerSecond   = 2000   // a second
	maxStoreWritesPerSecond  = 300    // a second, the lower end of several hundred
	maxInForceMillis         = 6000
	watchersPerRegion        = 2
)

// Assumptions about the entry hosts, which the design size leaves open.
const (
	hostCores = 4
	// targetUtilization is the share of a host's cores that requests may use on an ordinary day.
	targetUtilization = 0.5
	// racksPerSite is the number of racks that the entry hosts of a data centre are spread over.
	racksPerSite = 4
)

// Facts of the protocols, from the packages that implement them.
const (
	fillPollsPerSecond = 5
	// maxServicesPerPoll is the largest number of services that a question for fills names.
	maxServicesPerPoll   = 16
	otherRegionPollShare = 0.25
	writesPerChange      = 3  // pack, manifest, head
	readsPerColdStart    = 35 // head, manifest, up to 32 packs and the generation's first
)
