package policy

import (
	"time"
)

// Constants of the policy. None is specific to a deployment: they are shares, counts
// of ticks, or times given by people and networks.
const (
	mailShare        = 0.75 // share of the messages a gateway takes that reports may use
	minTick, maxTick = 25 * time.Millisecond, 250 * time.Millisecond
	staleTicks       = 6    // report intervals after which a peer's last report is no longer used
	leastWeight      = 0.33 // a silent peer's demand decays to this share of it
	forgetAfter      = 10 * time.Second
	demandSpan       = 2 * time.Second       // decay time constant of the demand rates
	blindExtra       = 25 * time.Millisecond // transit time of a report
	untold           = 0.01                  // added to a customer's urgency by each tick since it was last reported
	repeatTicks      = 3                     // a change is included in this many reports

	evenRate, evenLeast    = 0.02, 0.05             // demand assumed of each gateway: share of the rate, plus units a second
	arriveSlack, freeSlack = 0.5, 0.25              // part of a request by which a cap may be exceeded, at arrival and later
	jitter                 = 0.2                    // random spread of a predicted latency, so that every server is tried
	mostLatency            = 4.0                    // a latency is limited to this multiple of the class's mean
	choices                = 4                      // servers compared for an attempt
	zonePrice              = 25.0                   // service times that equal a charge of 1 for crossing zones
	queueWeight            = 0.5                    // latency that each attempt in flight adds at a server, in service times
	waitAim                = 0.15                   // a server is full when the wait exceeds this share of the shortest target
	leastOut               = 2.5                    // but not below this many attempts in flight
	retryReserve           = 0.3                    // share of the bucket that clients' retries leave to first requests
	pressedFor             = 200 * time.Millisecond // after a request found no server, retries are refused
	holdAim                = 0.25                   // a request is held for this share of its latency target
	firstGuess             = 8.0                    // a class's initial mean latency is its target over this
	learn, learnMean       = 0.1, 0.03              // weight of an outcome in a server's slowdown, in a class's mean
	slowSpan               = 10 * time.Second       // time constant by which old health figures decay
	fullFor                = 2 * time.Second        // a server that rejected a plan gets none of it
	fullBrief              = 150 * time.Millisecond // short, as a full queue has room again for any request
	anewFor                = 2 * time.Second        // a running total is marked as restarted from 0
	retryEarn, retryCap    = 0.15, 12.0             // retry budget earned by each first attempt, maximum kept
	coldSafety             = 0.5                    // share of a cold server's budget that is used

	leastLate               = 0.1       // an attempt is overdue no sooner than after this share of its target,
	overdue                 = 4.0       // and when this many times as old as predicted
	lostAnswer              = 6.0       // or this many times, if its server has answered others since
	sightWeight, sightLimit = 0.2, 0.45 // weight of a failure; average above which a server is ejected
	trialWorth              = 0.6       // share of its failure average that a server keeps after a successful trial

	trialEvery, trialMost = time.Second, 8 * time.Second // between trials of an ejected server: first, maximum

	mostOut  = 0.7  // if a larger share of the servers is ejected, ejections are ignored
	gateAim  = 0.4  // mean latency over target above which a share of the requests is refused
	blindAim = 0.35 // the same, where gateways don't see each other's load at servers

	gateShut, gateOpen = 3 * time.Second, 8 * time.Second // to fall to 1/e, to rise from 0 to 1
	gateLeast          = 0.25                             // admits enough requests to notice a recovery
	strainLife         = 12 * time.Second                 // time constant by which the measured lateness decays
	strainOwn          = 0.15                             // weight of an outcome or a root's reply in the lateness

	// With so many gateways that reports from all to all exceed the message rate.
	treeBeyond   = 2                     // roots are used if reports would need ticks longer than maxTick by this factor
	rootMail     = 0.5                   // share of its message intake that a root spends on one customer
	rootPeak     = 2.0                   // asks a root must be able to take, as a multiple of those within the quota
	rootTicks    = 2                     // ticks between the reports of a customer's roots to each other
	rootAsks     = 3                     // times a root is asked before its deputy is
	rootRest     = time.Second           // pause in asking a peer that left as many asks unanswered
	freshFill    = 0.8                   // share of a bucket that a root assumes to be full after its start
	deputyPart   = 0.1                   // share of a hard ceiling that the deputy holds
	memberPart   = 0.6                   // share that is divided evenly among all gateways, and used first
	aloneCareful = 0.25                  // share of what an isolated gateway passes, for retries and under caps
	unheardPower = 4.0                   // exponent of the share of asks answered: chance to pass without an answer
	deafAsks     = 4                     // after this many unanswered asks in a row, this gateway is isolated
	leastReply   = 30 * time.Millisecond // minimum wait for a reply
	replySpread  = 2.5                   // wait for a reply, as a multiple of the mean time to one
	thinSpan     = 20 * time.Second      // a root's reply on which share to ask for is used this long
	askedLeast   = 0.1                   // minimum share of a cap asked for at a root whose message intake is full
	leaseMeans   = 8.0                   // lease of an attempt whose end is not reported, in its class's mean latencies
	mostPace     = 12.0                  // maximum slowdown recorded of a server
	leastPace    = 0.1                   // minimum slowdown in a verdict
	paceLearn    = 0.025                 // weight of an outcome in the slowdown that a watcher keeps
	paceStep     = 1.7                   // a watcher sends a slowdown that changed by this factor
	verdictMail  = 0.1                   // share of a gateway's message intake that verdicts may use
	verdictKeep  = 2.0                   // verdicts a watcher may send at once
	verdictLife  = 8 * time.Second       // a verdict that is not repeated expires
	otherZone    = 0.7                   // weight of a server in another zone
	familiar     = 15.0                  // servers that a gateway prefers
	strange      = 0.1                   // share of its attempts that go to other servers

	lendSpan  = 300 * time.Millisecond // time in which a loan of ceiling units arrives
	lendAhead = 500 * time.Millisecond // this gateway's demand of this time is not lent
	lendFrom  = 0.5                    // share of its part that a peer uses before it gets loans, as bursts come on top
	lendMost  = 2.0                    // maximum loan, as a multiple of a peer's demand beyond its part

	// Where gateways serve many services.
	coldLeast  = 2                      // minimum sends a second for each gateway that may send to a cold server
	coldKeep   = 0.9                    // share of a cold server's limit that is divided among gateways
	crowded    = 0.15                   // latency that full use of its slots adds at a server, in service times
	wideBeyond = 24                     // gateways beyond which reports from all to all are too many
	ownersEach = 2                      // owners of a customer in each region
	borrowWait = 90 * time.Millisecond  // wait for a lender's reply
	dryFor     = 100 * time.Millisecond // pause in borrowing after all lenders refused
	toldSpan   = 400 * time.Millisecond // time constant by which the load that a server reported decays
	usualSpan  = 2 * time.Second        // time constant by which it decays in the average of its service and region

	leastDealt, leastPart = 2.0, 1e-9 // minimum units in a gateway's even part; minimum share of a ceiling

	queueAim    = 0.5 // a server is full when the wait for a slot exceeds this share of the request's target
	lateAim     = 0.2 // the same, for a request that will miss its target on any server
	lackedAim   = 0.5 // share of its target that an unbound request waits elsewhere to leave room to region-bound ones
	holdEarly   = 20 * time.Millisecond
	fieldTick   = 50 * time.Millisecond
	wideAdvice  = 250 * time.Millisecond // advised wait before a retry beyond the quota: units may be there then
	doubtedCost = 1e3                    // penalty in seconds that puts suspect servers last
	shortAdvice = 60 * time.Millisecond  // advised wait before a retry after a refusal because no server had room
)
