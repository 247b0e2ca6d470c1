package policy

import (
	"time"
)

// Constants of the policy. None is specific to a deployment: they are shares, counts
// of ticks, or times given by people and networks.
const (
	reportIntakeShare  = 0.75 // part of a gateway's mail intake that reports may fill
	minTick, maxTick   = 25 * time.Millisecond, 250 * time.Millisecond
	staleAfterReports  = 6    // a report older than this gives way to the demand split
	minSilentWeight    = 0.33 // a silent peer's demand fades to this part of it
	idleExpiry         = 10 * time.Second
	demandTimeConstant = 2 * time.Second       // memory of the demand rates
	reportTransitTime  = 25 * time.Millisecond // time a report travels
	reportAgeWeight    = 0.01                  // what a tick untold adds to a place in the report
	reportsPerChange   = 3                     // a change is told in this many reports

	assumedDemandShare, minAssumedDemand = 0.02, 0.05 // demand of each gateway taken for granted: of the rate, units
	arrivalSlack, releaseSlack           = 0.5, 0.25  // parts of a place that count as one, at arrival and later
	latencyJitter                        = 0.2        // spread of a prediction, so that none is left untried
	maxLatencyMeans                      = 4.0        // a latency counts for so many means at most
	serversCompared                      = 4          // servers compared for an attempt
	serviceTimesPerZoneCharge            = 25.0       // service times that a charge of one for another zone is worth
	queueWeight                          = 0.5        // what each attempt out adds to a server's latency, in service times
	maxWaitShare                         = 0.15       // a server is full when the wait passes this part of the shortest aim
	minInFlightWhenFull                  = 2.5        // but not below this many attempts out
	retryReserve                         = 0.3        // part of the store that clients' repeats leave to first tries
	serverShortageSpan                   = 200 * time.Millisecond
	holdShare                            = 0.25             // a request is held for this part of its aim
	initialLatencyDivisor                = 8.0              // a request's first guessed latency is its aim over this
	learningRate, meanLearningRate       = 0.1, 0.03        // weight of an outcome in a server's pace, in a class's latency
	healthDecayTime                      = 10 * time.Second // an old judgement wears off in this time
	rejectionPause                       = 2 * time.Second
	queueFullPause                       = 150 * time.Millisecond // where its queue has room for whoever comes first
	newTotalSpan                         = 2 * time.Second        // a total that begins at nothing is told as such
	retryBudgetEarned, maxRetryBudget    = 0.15, 12.0             // retry budget earned by each first attempt, most kept
	coldBudgetShare                      = 0.5                    // part of the cold budget used

	minOverdueShare                  = 0.1       // an attempt is overdue after this part of its aim at the soonest,
	overdueFactor                    = 4.0       // when so many times as old as predicted
	lostAnswerFactor                 = 6.0       // and when so many, where its server has answered others since
	failureWeight, ejectionThreshold = 0.2, 0.45 // weight of a failure, average that puts a server out of use
	failureShareAfterTrial           = 0.6       // what a good trial leaves of a server's failures

	trialBackoffStep, maxTrialBackoff = time.Second, 8 * time.Second // between trials of a server out of use

	maxEjectedShare               = 0.7  // when more are out of use they are used all the same
	admissionCutLateness          = 0.4  // mean latency over aim above which the gate closes
	admissionCutLatenessWithRoots = 0.35 // and where gateways don't see the load at servers

	admissionCutTime, admissionRecoveryTime = 3 * time.Second, 8 * time.Second // to 1/e in this time, and opens
	minAdmission                            = 0.25                             // enough to learn from when all is well again
	latenessDecayTime                       = 12 * time.Second                 // how fast an old strain is forgotten
	latenessWeight                          = 0.15                             // weight of an outcome or a root's word in it

	// Where reports from all to all are more than the mail bears.
	useRootsTickFactor     = 2                     // the mail would stretch the longest tick by this factor
	rootIntakeShare        = 0.5                   // part of its mail intake that a root spends on one customer
	rootAskPeakFactor      = 2.0                   // asks it must bear, as a multiple of those inside the quota
	rootReportTicks        = 2                     // roots of a customer report to each other every so many ticks
	maxRootAsks            = 3                     // times a root is asked before its deputy is
	unresponsivePause      = time.Second           // one that answered none of so many is left alone so long
	restartedBucketFill    = 0.8                   // part of a store that a root just started presumes
	deputyCeilingShare     = 0.1                   // part of a hard ceiling that the deputy holds
	dealtCeilingShare      = 0.6                   // and all gateways together, alike: used first
	isolatedCautionFactor  = 0.25                  // of what passes where nobody is heard, for repeats and under caps
	unansweredPassExponent = 4.0                   // of the share of asks answered: passes unheard
	isolatedAfterAsks      = 4                     // asks met with silence from all: this gateway is cut off
	minReplyWait           = 30 * time.Millisecond // an answer is waited for this long at least
	replyWaitMeans         = 2.5                   // and for this many mean times
	askShareSpan           = 20 * time.Second      // a root's word of what part fits is heeded so long
	minAskShare            = 0.1                   // part of a cap that is asked for at a root whose mail is full
	leaseMeanLatencies     = 8.0                   // an attempt not told of as ended counts for so many mean latencies
	maxSlowdown            = 12.0                  // most a server's pace is taken for
	minSlowdown            = 0.1                   // and least, where it is told
	slowdownLearningRate   = 0.025                 // weight of an outcome in the pace at its watcher
	slowdownReportFactor   = 1.7                   // a pace is told when it changed by this factor
	verdictIntakeShare     = 0.1                   // part of a gateway's mail intake that verdicts may fill
	verdictBurst           = 2.0                   // verdicts a watcher may send at once
	verdictTTL             = 8 * time.Second       // a verdict not told again lapses
	otherZoneWeight        = 0.7                   // weight of a server in another zone
	preferredServers       = 15.0                  // servers that a gateway goes to mostly
	otherServersShare      = 0.1                   // part of its attempts that goes to the others

	loanTransitTime    = 300 * time.Millisecond // what is lent of a ceiling arrives in this time
	unlentDemandSpan   = 500 * time.Millisecond // own demand that is not lent
	lendThresholdShare = 0.5                    // of a part: who uses more asks for more; bursts come on top
	maxLoanFactor      = 2.0                    // of what a peer asks for beyond its part

	// Where gateways serve many services.
	minColdSendsPerOwner = 2                      // sends a second that an owner of a cold server has at the least
	coldSendsShare       = 0.9                    // part of a cold server's budget that is given out
	slotUsePenalty       = 0.15                   // what a slot in use adds to a latency, of its service time
	borrowBeyondGateways = 24                     // gateways from which reports from all to all are too many
	ownersPerRegion      = 2                      // of a customer, in each region
	loanTimeout          = 90 * time.Millisecond  // for an owner's answer
	borrowPause          = 100 * time.Millisecond // where none had any to lend, none is asked again so soon
	serverLoadDecayTime  = 400 * time.Millisecond // what a server told of its load wears off in this time
	usualLoadDecayTime   = 2 * time.Second        // what it told counts in what is usual for so long

	minDealtUnits, minCeilingShare = 2.0, 1e-9 // units that a dealt part must hold, least part of a ceiling

	maxSlotWaitShare        = 0.5 // a server is full when the wait there passes this part of the request's aim
	maxLateSlotWaitShare    = 0.2 // and this part, for one that will be late whatever is done
	regionBoundPenaltyShare = 0.5 // part of its aim that a request with a choice of regions gives to those without
	holdMargin              = 20 * time.Millisecond
	multiServiceTick        = 50 * time.Millisecond
	beyondQuotaAdvice       = 250 * time.Millisecond // what is beyond a quota may have units then
	suspectCostSeconds      = 1e3                    // seconds: whoever is doubted is the last
	noServerAdvice          = 60 * time.Millisecond  // a refusal for want of room is worth a look again after this
)
