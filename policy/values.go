package policy

import (
	"time"
)

// Constants of the policy. None is specific to a deployment: they are shares, counts
// of ticks, or times given by people and networks.
const (
	reportIntakeShare  = 0.75 // share of the messages a gateway takes that reports may use
	minTick, maxTick   = 25 * time.Millisecond, 250 * time.Millisecond
	staleAfterReports  = 6    // report intervals after which a peer's last report is no longer used
	minSilentWeight    = 0.33 // a silent peer's demand decays to this share of it
	idleExpiry         = 10 * time.Second
	demandTimeConstant = 2 * time.Second       // decay time constant of the demand rates
	reportTransitTime  = 25 * time.Millisecond // transit time of a report
	reportAgeWeight    = 0.01                  // added to a customer's urgency by each tick since it was last reported
	reportsPerChange   = 3                     // a change is included in this many reports

	assumedDemandShare, minAssumedDemand = 0.02, 0.05             // demand assumed of each gateway: share of the rate, plus units a second
	arrivalSlack, releaseSlack           = 0.5, 0.25              // part of a request by which a cap may be exceeded, at arrival and later
	latencyJitter                        = 0.2                    // random spread of a predicted latency, so that every server is tried
	maxLatencyMeans                      = 4.0                    // a latency is limited to this multiple of the class's mean
	serversCompared                      = 4                      // servers compared for an attempt
	serviceTimesPerZoneCharge            = 25.0                   // service times that equal a charge of 1 for crossing zones
	queueWeight                          = 0.5                    // latency that each attempt in flight adds at a server, in service times
	maxWaitShare                         = 0.15                   // a server is full when the wait exceeds this share of the shortest target
	minInFlightWhenFull                  = 2.5                    // but not below this many attempts in flight
	retryReserve                         = 0.3                    // share of the bucket that clients' retries leave to first requests
	serverShortageSpan                   = 200 * time.Millisecond // after a request found no server, retries are refused
	holdShare                            = 0.25                   // a request is held for this share of its latency target
	initialLatencyDivisor                = 8.0                    // a class's initial mean latency is its target over this
	learningRate, meanLearningRate       = 0.1, 0.03              // weight of an outcome in a server's slowdown, in a class's mean
	healthDecayTime                      = 10 * time.Second       // time constant by which old health figures decay
	rejectionPause                       = 2 * time.Second        // a server that rejected a plan gets none of it
	queueFullPause                       = 150 * time.Millisecond // short, as a full queue has room again for any request
	newTotalSpan                         = 2 * time.Second        // a running total is marked as restarted from 0
	retryBudgetEarned, maxRetryBudget    = 0.15, 12.0             // retry budget earned by each first attempt, maximum kept
	coldBudgetShare                      = 0.5                    // share of a cold server's budget that is used

	minOverdueShare                  = 0.1       // an attempt is overdue no sooner than after this share of its target,
	overdueFactor                    = 4.0       // and when this many times as old as predicted
	lostAnswerFactor                 = 6.0       // or this many times, if its server has answered others since
	failureWeight, ejectionThreshold = 0.2, 0.45 // weight of a failure; average above which a server is ejected
	failureShareAfterTrial           = 0.6       // share of its failure average that a server keeps after a successful trial

	trialBackoffStep, maxTrialBackoff = time.Second, 8 * time.Second // between trials of an ejected server: first, maximum

	maxEjectedShare               = 0.7  // if a larger share of the servers is ejected, ejections are ignored
	admissionCutLateness          = 0.4  // mean latency over target above which a share of the requests is refused
	admissionCutLatenessWithRoots = 0.35 // the same, where gateways don't see each other's load at servers

	admissionCutTime, admissionRecoveryTime = 3 * time.Second, 8 * time.Second // to fall to 1/e, to rise from 0 to 1
	minAdmission                            = 0.25                             // admits enough requests to notice a recovery
	latenessDecayTime                       = 12 * time.Second                 // time constant by which the measured lateness decays
	latenessWeight                          = 0.15                             // weight of an outcome or a root's reply in the lateness

	// With so many gateways that reports from all to all exceed the message rate.
	useRootsTickFactor     = 2                     // roots are used if reports would need ticks longer than maxTick by this factor
	rootIntakeShare        = 0.5                   // share of its message intake that a root spends on one customer
	rootAskPeakFactor      = 2.0                   // asks a root must be able to take, as a multiple of those within the quota
	rootReportTicks        = 2                     // ticks between the reports of a customer's roots to each other
	maxRootAsks            = 3                     // times a root is asked before its deputy is
	unresponsivePause      = time.Second           // pause in asking a peer that left as many asks unanswered
	restartedBucketFill    = 0.8                   // share of a bucket that a root assumes to be full after its start
	deputyCeilingShare     = 0.1                   // share of a hard ceiling that the deputy holds
	dealtCeilingShare      = 0.6                   // share that is divided evenly among all gateways, and used first
	isolatedCautionFactor  = 0.25                  // share of what an isolated gateway passes, for retries and under caps
	unansweredPassExponent = 4.0                   // exponent of the share of asks answered: chance to pass without an answer
	isolatedAfterAsks      = 4                     // after this many unanswered asks in a row, this gateway is isolated
	minReplyWait           = 30 * time.Millisecond // minimum wait for a reply
	replyWaitMeans         = 2.5                   // wait for a reply, as a multiple of the mean time to one
	askShareSpan           = 20 * time.Second      // a root's reply on which share to ask for is used this long
	minAskShare            = 0.1                   // minimum share of a cap asked for at a root whose message intake is full
	leaseMeanLatencies     = 8.0                   // lease of an attempt whose end is not reported, in its class's mean latencies
	maxSlowdown            = 12.0                  // maximum slowdown recorded of a server
	minSlowdown            = 0.1                   // minimum slowdown in a verdict
	slowdownLearningRate   = 0.025                 // weight of an outcome in the slowdown that a watcher keeps
	slowdownReportFactor   = 1.7                   // a watcher sends a slowdown that changed by this factor
	verdictIntakeShare     = 0.1                   // share of a gateway's message intake that verdicts may use
	verdictBurst           = 2.0                   // verdicts a watcher may send at once
	verdictTTL             = 8 * time.Second       // a verdict that is not repeated expires
	otherZoneWeight        = 0.7                   // weight of a server in another zone
	preferredServers       = 15.0                  // servers that a gateway prefers
	otherServersShare      = 0.1                   // share of its attempts that go to other servers

	loanTransitTime    = 300 * time.Millisecond // time in which a loan of ceiling units arrives
	unlentDemandSpan   = 500 * time.Millisecond // this gateway's demand of this time is not lent
	lendThresholdShare = 0.5                    // share of its part that a peer uses before it gets loans, as bursts come on top
	maxLoanFactor      = 2.0                    // maximum loan, as a multiple of a peer's demand beyond its part

	// Where gateways serve many services.
	minColdSendsPerOwner = 2                      // minimum sends a second for each gateway that may send to a cold server
	coldSendsShare       = 0.9                    // share of a cold server's limit that is divided among gateways
	slotUsePenalty       = 0.15                   // latency that full use of its slots adds at a server, in service times
	borrowBeyondGateways = 24                     // gateways beyond which reports from all to all are too many
	ownersPerRegion      = 2                      // owners of a customer in each region
	loanTimeout          = 90 * time.Millisecond  // wait for a lender's reply
	borrowPause          = 100 * time.Millisecond // pause in borrowing after all lenders refused
	serverLoadDecayTime  = 400 * time.Millisecond // time constant by which the load that a server reported decays
	usualLoadDecayTime   = 2 * time.Second        // time constant by which it decays in the average of its service and region

	minDealtUnits, minCeilingShare = 2.0, 1e-9 // minimum units in a gateway's even part; minimum share of a ceiling

	maxSlotWaitShare        = 0.5 // a server is full when the wait for a slot exceeds this share of the request's target
	maxLateSlotWaitShare    = 0.2 // the same, for a request that will miss its target on any server
	regionBoundPenaltyShare = 0.5 // share of its target that an unbound request waits elsewhere to leave room to region-bound ones
	holdMargin              = 20 * time.Millisecond
	multiServiceTick        = 50 * time.Millisecond
	beyondQuotaAdvice       = 250 * time.Millisecond // advised wait before a retry beyond the quota: units may be there then
	suspectCostSeconds      = 1e3                    // penalty in seconds that puts suspect servers last
	noServerAdvice          = 60 * time.Millisecond  // advised wait before a retry after a refusal because no server had room
)
