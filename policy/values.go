package policy

import "time"

// Constants of no particular deployment: shares, counts of ticks, and times given by people and networks.
const (
	reportIntakeShare = 0.75 // share of a gateway's message intake that reports may use
	minTick, maxTick  = 25 * time.Millisecond, 250 * time.Millisecond
	staleAfterReports = 6                     // report intervals after which a peer's report is outdated
	minSilentWeight   = 0.33                  // a silent peer's demand decays to this share of it
	idleExpiry        = 10 * time.Second      // until unused entries expire; decay of a silent peer's demand
	demandDecay       = 2 * time.Second       // time constant by which demand rates decay
	reportTransitTime = 25 * time.Millisecond // transit time of a report
	reportAgeWeight   = 0.01                  // urgency that a customer gains with each tick without a report
	reportsPerChange  = 3                     // a change is included in this many reports

	assumedDemandShare, minAssumedDemand = 0.02, 0.05 // demand assumed of a gateway: of the rate, and units/s

	arrivalSlack, releaseSlack = 0.5, 0.25 // part of a request allowed over a cap, at arrival and later

	latencyJitter             = 0.2  // random spread of predictions, so that every server is tried
	maxLatencyMeans           = 4.0  // a latency is limited to this multiple of the class's mean
	serversCompared           = 4    // servers compared for an attempt
	serviceTimesPerZoneCharge = 25.0 // service times worth a charge of 1 for crossing zones
	queueWeight               = 0.5  // latency that each attempt in flight adds, in service times
	maxWaitShare              = 0.15 // a server is full if the wait exceeds this share of the target
	minInFlightWhenFull       = 2.5  // but not below this many attempts in flight
	retryReserve              = 0.3  // share of the bucket that retries leave to first requests

	serverShortageSpan = 200 * time.Millisecond // retries are refused so long after a server shortage

	holdShare             = 0.25 // a request is held for this share of its latency target
	initialLatencyDivisor = 8.0  // a class's initial mean latency is its target over this

	learningRate, meanLearningRate = 0.1, 0.03 // weight of an outcome in a slowdown, in a class's mean

	healthDecayTime = 10 * time.Second       // time constant by which old health figures decay
	rejectionPause  = 2 * time.Second        // before a server gets a plan again that it rejected
	queueFullPause  = 150 * time.Millisecond // short: a full queue soon has room again
	newTotalSpan    = 2 * time.Second        // a total is marked as restarted from 0

	retryBudgetEarned, maxRetryBudget = 0.15, 12.0 // earned by each first attempt, maximum kept

	coldSafety = 0.5 // share of a cold server's budget that is used

	minOverdueShare  = 0.1 // an attempt is overdue at the soonest after this share of its target,
	overdueFactor    = 4.0 // and when this many times as old as predicted
	lostAnswerFactor = 6.0 // or this many times, if its server has answered others since

	failureWeight, ejectionThreshold = 0.2, 0.45 // weight of a failure; average that ejects a server

	failureShareAfterTrial = 0.6 // share of the failure average left after a good trial

	trialBackoffStep, maxTrialBackoff = time.Second, 8 * time.Second // between trials of an ejected server

	maxEjectedShare  = 0.7  // if more servers are ejected, ejections are ignored
	maxLateness      = 0.4  // mean latency over target from which a share of the requests is refused
	maxRootsLateness = 0.35 // the same, where gateways use roots and don't see each other's load

	// Times in which the share of requests admitted falls to 1/e, and rises from 0 to 1 again.
	admissionCutTime, admissionRecoveryTime = 3 * time.Second, 8 * time.Second

	minAdmission = 0.25 // minimum share of requests admitted: enough to notice a recovery

	latenessDecayTime = 12 * time.Second // time constant by which the lateness decays

	latenessWeight = 0.15 // weight of an outcome or a root's reply in the lateness

	// Where reports from all gateways to all exceed the message rate.
	useRootsTickFactor = 2   // roots are used if reports need ticks above maxTick by this factor
	rootIntakeShare    = 0.5 // share of its message intake that a root spends on one customer
	rootAskPeakFactor  = 2.0 // asks a root must bear, as a multiple of those within the quota
	rootReportTicks    = 2   // ticks between the reports of a customer's roots to each other
	rootAsks           = 3   // times a root is asked before its deputy is

	peerPause = time.Second // before a peer is asked again that left rootAsks asks unanswered

	restartedBucketFill    = 0.8  // share of a bucket that a root assumes after its start
	deputyCeilingShare     = 0.1  // share of a hard ceiling that the deputy holds
	dealtCeilingShare      = 0.6  // share divided evenly among all gateways, and used first
	isolatedCautionFactor  = 0.25 // factor on what an isolated gateway passes, for retries and under caps
	unansweredPassExponent = 4.0  // chance to pass without a reply: share of asks answered, to this power
	isolatedAfterAsks      = 4    // unanswered asks in a row after which a gateway is isolated

	minReplyWait = 30 * time.Millisecond // minimum wait for a reply

	replyWaitMeans = 2.5 // wait for a reply, as a multiple of the mean time to one

	askShareSpan = 20 * time.Second // a root's reply on the share to ask for is used this long

	minAskShare          = 0.1   // minimum share of a cap asked for at a root with full intake
	leaseMeanLatencies   = 8.0   // lease of an attempt with no reported end, in mean latencies
	maxSlowdown          = 12.0  // maximum slowdown recorded of a server
	minSlowdown          = 0.1   // minimum slowdown in a verdict
	slowdownLearningRate = 0.025 // weight of an outcome in a watcher's slowdown
	slowdownReportFactor = 1.7   // a watcher sends a slowdown that changed by this factor
	verdictIntakeShare   = 0.1   // share of a gateway's message intake that verdicts may use
	verdictBurst         = 2.0   // verdicts a watcher may send at once

	verdictTTL = 8 * time.Second // a verdict that is not repeated expires

	otherZoneWeight   = 0.7  // weight of a server in another zone
	preferredServers  = 15.0 // servers that a gateway prefers
	otherServersShare = 0.1  // share of its attempts that go to other servers

	loanTransitTime  = 300 * time.Millisecond // time in which a loan of ceiling units arrives
	unlentDemandSpan = 500 * time.Millisecond // this gateway's demand of this time is not lent

	lendThresholdShare = 0.5 // share of its part that a peer must use to get loans: bursts come on top
	maxLoan            = 2.0 // maximum loan, as a multiple of the demand beyond a part

	// Where gateways serve many services.
	minColdSendsPerOwner = 2                      // minimum sends a second of a gateway to a cold server
	coldSendsShare       = 0.9                    // share of a cold server's limit that gateways divide
	slotUsePenalty       = 0.15                   // latency added when all slots are in use, in service times
	borrowBeyondGateways = 24                     // more gateways are too many to report to all
	ownersPerRegion      = 2                      // owners of a customer in each region
	loanTimeout          = 90 * time.Millisecond  // wait for a lender's reply
	borrowPause          = 100 * time.Millisecond // pause in borrowing after all lenders refused
	serverLoadDecayTime  = 400 * time.Millisecond // time constant of a load that a server reported
	usualLoadDecayTime   = 2 * time.Second        // the same, in its service's average in a region

	minDealtUnits, minCeilingShare = 2.0, 1e-9 // minimum units of an even part; minimum share of a ceiling

	maxSlotWaitShare        = 0.5 // a server is full if a slot's wait exceeds this share of the target
	maxLateSlotWaitShare    = 0.2 // the same, for a request that misses its target anyway
	regionBoundPenaltyShare = 0.5 // penalty, as a share of the target, for room that bound requests need
	holdMargin              = 20 * time.Millisecond
	multiServiceTick        = 50 * time.Millisecond
	beyondQuotaAdvice       = 250 * time.Millisecond // advised wait beyond the quota, for new units
	suspectCostSeconds      = 1e3                    // penalty that puts suspect servers last
	noServerAdvice          = 60 * time.Millisecond  // advised wait after finding no server
)
