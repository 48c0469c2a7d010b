// Package scenario is a day as a file: a fleet, its destinations, classes and traffic, and what goes wrong. Read checks a
// file; Draw makes of it, with a seed, every arrival and every trouble of the day. The same seed gives the same day, to
// the byte.
package scenario

// Range is two bounds between which a value is drawn; the same twice for a fixed one.
type Range [2]float64

// Definition is a day's file. The tags are the one place that says what each key means: doc and unit, the default (def, none:
// must be given), the bounds (in), the words allowed (one). Read, the checks and the page on the format all come of them.
type Definition struct {
	Name         string       `toml:"name" doc:"name of the day, for reports"`
	About        string       `toml:"about" def:"" doc:"what the day is meant to show"`
	Seed         int64        `toml:"seed" def:"1" in:"0..9e15" doc:"seed, where the command names none"`
	Length       float64      `toml:"length_s" in:"1..86400" unit:"s" doc:"how long messages arrive; the day ends when the last deadline has passed"`
	Load         Range        `toml:"load" def:"[0.8,0.8]" in:"0.001..10" unit:"of the full load" doc:"traffic, as a part of the full load"`
	Fleet        Fleet        `toml:"fleet" doc:"the couriers"`
	Traffic      Traffic      `toml:"traffic" doc:"what is submitted"`
	Kinds        []Kind       `toml:"kind" doc:"kinds of destination, at least one"`
	Classes      []Class      `toml:"workload" doc:"kinds of message, at least one"`
	Tenants      []Tenant     `toml:"party" doc:"senders with a share; none: no shares"`
	Clients      Clients      `toml:"clients" doc:"how clients behave"`
	Network      Network      `toml:"network" doc:"one way through the network"`
	Directory    Directory    `toml:"directory" doc:"the list of endpoints"`
	Rules        Rules        `toml:"rules" doc:"figures of the rules"`
	Goal         Goal         `toml:"goal" doc:"weights of the day's figure; they are scaled to the sum of 1"`
	Prices       Prices       `toml:"prices" doc:"what comes off the day's figure"`
	Faults       []FaultSpec  `toml:"trouble" doc:"troubles that happen for certain"`
	RandomFaults RandomFaults `toml:"chance" doc:"troubles drawn from the seed, on top"`
}

// Fleet is the couriers.
type Fleet struct {
	Couriers       int      `toml:"couriers" in:"1..10000" doc:"how many"`
	ClientRouting  string   `toml:"entry" def:"front" one:"front|own" doc:"front: clients reach any courier; own: each client has one courier"`
	Zones          []string `toml:"zones" def:"a" doc:"buildings; couriers and endpoints are spread over them"`
	SlotsFactor    float64  `toml:"slots_room" def:"2" in:"0.1..1000" doc:"slots, over what a courier's part of the full load keeps busy"`
	LeastSlots     int      `toml:"least_slots" def:"4" in:"1..100000" doc:"slots of a courier at least"`
	HoldFor        float64  `toml:"hold_s" def:"6" in:"0.1..3600" unit:"s of the full load" doc:"how much a courier holds"`
	LeastHold      int      `toml:"least_hold" def:"10" in:"1..1000000" doc:"messages that a courier holds at least"`
	Tick           float64  `toml:"tick_ms" def:"5" in:"0.1..1000" unit:"ms" doc:"virtual time only: a courier handles what has come once a tick"`
	MaxAttempts    int      `toml:"max_trips" def:"8" in:"1..100" doc:"attempts of a message at most"`
	MayCancel      bool     `toml:"may_cancel" def:"true" doc:"couriers may call attempts off"`
	MayAdvise      bool     `toml:"may_advise" def:"true" doc:"a rejection may say when to come again"`
	IdleTimeout    float64  `toml:"idle_s" def:"5" in:"0.1..3600" unit:"s" doc:"idle connections are closed after this"`
	ConnectTimeout float64  `toml:"connect_ms" def:"1000" in:"10..60000" unit:"ms" doc:"connections that are not up by then are given up"`
	MaxRetryAfter  float64  `toml:"longest_advice_s" def:"2" in:"0..3600" unit:"s" doc:"longest advice that clients heed"`
}

// Traffic is what is submitted.
type Traffic struct {
	FullLoadPerSec float64 `toml:"full_per_s" in:"0.01..1000000" unit:"records/s" doc:"the full load"`
	Destinations   int     `toml:"destinations" in:"1..1000000" doc:"how many destinations"`
	Zipf           float64 `toml:"zipf" def:"0.9" in:"0..3" doc:"how uneven traffic is among destinations (exponent)"`
	Uneven         float64 `toml:"uneven" def:"0" in:"0..3" doc:"how uneven it is among couriers (exponent); 0: all alike"`
	Swing          float64 `toml:"swing" def:"0.2" in:"0..0.95" doc:"how far traffic swings about its mean, in one wave a day"`
	BurstShare     Range   `toml:"clumps" def:"[0.1,0.1]" in:"0..0.9" doc:"share of messages that come in clumps for one destination"`
	ClumpFor       Range   `toml:"clump_s" def:"[1,3]" in:"0.01..60" unit:"s of the limit" doc:"size of a clump"`
	Keys           int     `toml:"keys" def:"200" in:"1..1000000" doc:"distinct keys, for classes in order"`
}

// Kind is one kind of destination.
type Kind struct {
	Name           string   `toml:"name" doc:"its name"`
	Share          float64  `toml:"share" def:"1" in:"0..1000" doc:"part of the destinations, among the kinds"`
	Lean           int      `toml:"lean" def:"0" in:"-1..1" doc:"1: mostly busy destinations, -1: mostly quiet ones"`
	Endpoints      Range    `toml:"endpoints" def:"[1,3]" in:"1..64" doc:"endpoints of a destination"`
	ServiceTime    Range    `toml:"answer_ms" def:"[150,300]" in:"1..60000" unit:"ms" doc:"mean time of service"`
	Spread         Range    `toml:"spread" def:"[0.4,0.7]" in:"0..5" doc:"coefficient of variation of it (lognormal)"`
	Headroom       Range    `toml:"headroom" def:"[1.2,2]" in:"0.1..1000" unit:"x its calls at full load" doc:"the limit"`
	Least          Range    `toml:"least_per_s" def:"[2,4]" in:"0.01..100000" unit:"calls/s" doc:"the limit at least"`
	Spare          Range    `toml:"spare" def:"[1.15,1.6]" in:"1..100" unit:"x the limit" doc:"capacity"`
	Limits         []string `toml:"limits" def:"rate" one:"rate|window|none" doc:"how it counts, one drawn for each: a plain rate, so many in a span, or not at all"`
	WindowSpan     float64  `toml:"window_ms" def:"1000" in:"10..60000" unit:"ms" doc:"span of a window"`
	RefusedCount   float64  `toml:"refused_count" def:"0" in:"0..1" doc:"share of destinations where refused calls use up the limit"`
	Tells          Range    `toml:"tells" def:"[0.5,1]" in:"0..1" doc:"share of refusals that tell how long to wait"`
	MinRetryAfter  Range    `toml:"wait_ms" def:"[200,900]" in:"0..600000" unit:"ms" doc:"shortest wait that is told"`
	Connections    Range    `toml:"connections" def:"[0,0]" in:"0..1000" unit:"x calls served at once" doc:"connections of an endpoint, idle ones counted; 0: any number"`
	LeastConns     int      `toml:"least_connections" def:"8" in:"1..100000" doc:"connections at least, where they are few"`
	Queue          Range    `toml:"queue_s" def:"[0.3,1]" in:"0..60" unit:"s of its capacity" doc:"queue of an endpoint"`
	SeparateRoutes bool     `toml:"apart" def:"false" doc:"its endpoints are routes apart, each with its own limit, outages and return"`
	PerCall        int      `toml:"per_call" def:"1" in:"1..100" doc:"messages in a call at most"`
	ItemCost       float64  `toml:"item_cost" def:"0.15" in:"0..1" unit:"x a call" doc:"work of each further message in a call"`
	Reports        bool     `toml:"reports" def:"false" doc:"answers tell what is left of the limit, and the limit"`
	ReportEvery    float64  `toml:"report_ms" def:"300" in:"1..60000" unit:"ms" doc:"how old a report may be"`
	ReportNoise    float64  `toml:"report_noise" def:"0.08" in:"0..1" doc:"how far a report is off (deviation)"`
	ErrorRate      Range    `toml:"error_rate" def:"[0,0.003]" in:"0..1" doc:"share of calls that fail in good health"`
}

// Class is one kind of message.
type Class struct {
	Name         string   `toml:"name" doc:"its name"`
	Share        float64  `toml:"share" def:"1" in:"0..1000" doc:"part of the messages, among the classes"`
	Kinds        []string `toml:"kinds" def:"" doc:"kinds of destination that it goes to; none: all"`
	Objective    float64  `toml:"quoted_s" in:"0.01..86400" unit:"s" doc:"latency objective"`
	Deadline     float64  `toml:"cut_off_s" in:"0.1..86400" unit:"s" doc:"deadline"`
	Priority     float64  `toml:"payoff" def:"1" in:"0..1e6" doc:"value"`
	LatePart     float64  `toml:"late_part" def:"0" in:"0..1" doc:"part of the value that is left at the deadline"`
	Idempotency  string   `toml:"repeat" def:"replayable" one:"replayable|referenced|single-use" doc:"what may be done about one that may have run"`
	DedupWindow  float64  `toml:"window_s" def:"10" in:"0..86400" unit:"s" doc:"referenced: how long a repeat is known"`
	DedupOneZone bool     `toml:"one_zone" def:"false" doc:"referenced: only endpoints of one zone know a repeat"`
	InOrder      bool     `toml:"in_order" def:"false" doc:"messages of one key go in the order taken"`
}

// Tenant is a sender with a share.
type Tenant struct {
	Name  string  `toml:"name" doc:"its name"`
	Share float64 `toml:"share" in:"0..1" doc:"its share of the full load"`
	Usage float64 `toml:"usage" def:"1" in:"0..100" doc:"what it sends, as a part of its share"`
}

// Clients is how clients behave.
type Clients struct {
	Retries              int     `toml:"retries" def:"2" in:"0..20" doc:"how often a rejected message is submitted again"`
	Backoff              Range   `toml:"backoff_ms" def:"[300,1400]" in:"1..600000" unit:"ms" doc:"wait before that; doubled each time"`
	HonorRetryAfterShare float64 `toml:"heed" def:"0.7" in:"0..1" doc:"share of rejections whose advice is heeded"`
	ResubmitAfter        Range   `toml:"again_s" def:"[0.3,2]" in:"0.01..600" unit:"s" doc:"after this, what a dead courier held is submitted at another"`
	FailoverDelay        Range   `toml:"notice_s" def:"[1,4]" in:"0..600" unit:"s" doc:"how long a front goes on sending to a dead courier"`
	CancelShare          float64 `toml:"leave" def:"0" in:"0..1" doc:"share of messages that are withdrawn before they are delivered or cut off"`
}

// Network is the network, one way.
type Network struct {
	SameZone      Range   `toml:"same_ms" def:"[2,6]" in:"0..10000" unit:"ms" doc:"within a building"`
	CrossZone     Range   `toml:"cross_ms" def:"[5,15]" in:"0..10000" unit:"ms" doc:"between buildings"`
	Client        float64 `toml:"client_ms" def:"0.1" in:"0..10000" unit:"ms" doc:"between client and courier"`
	HandshakeRTTs float64 `toml:"handshake_rtts" def:"2" in:"0..10" doc:"round trips that a new connection takes"`
}

// Directory is the list of endpoints.
type Directory struct {
	Mode        string `toml:"mode" def:"push" one:"push|ask" doc:"push: changes come by themselves; ask: only to who watches"`
	Rates       string `toml:"rates" def:"rough" one:"none|rough|nominal" doc:"what the list says of the limits: nothing, up to half off, the limit"`
	ChangeDelay Range  `toml:"notice_s" def:"[0.5,3]" in:"0..600" unit:"s" doc:"how late a change is told"`
	ListTime    Range  `toml:"call_ms" def:"[20,200]" in:"0..60000" unit:"ms" doc:"how long the whole list takes"`
}

// Rules are figures of the rules.
type Rules struct {
	AnswerGrace           float64 `toml:"answer_slack_s" def:"0.02" in:"0..60" unit:"s" doc:"grace for a final answer after the deadline"`
	DrainGrace            float64 `toml:"drain_grace_s" def:"0.5" in:"0..600" unit:"s" doc:"grace for a send after a drain was told"`
	SlowStartInitialShare float64 `toml:"cold_from" def:"0.2" in:"0.01..1" doc:"share of its capacity that a returning destination has"`
	SlowStart             float64 `toml:"ramp_s" def:"10" in:"0..3600" unit:"s" doc:"time until it has all of it"`
	OverloadFactor        float64 `toml:"fall_multiple" def:"2.5" in:"0..100" doc:"sent more than this multiple of what it can do"`
	OverloadWindow        float64 `toml:"fall_span_s" def:"2" in:"0.01..600" unit:"s" doc:"for so long, it falls over"`
	FallDown              float64 `toml:"fall_down_s" def:"15" in:"0.1..3600" unit:"s" doc:"how long it is down then"`
	KeyRest               float64 `toml:"key_rest_s" def:"0" in:"0..600" unit:"s" doc:"how long a key rests after an attempt that may still run"`
	OverShare             float64 `toml:"over_share_part" def:"0.1" in:"0..1" doc:"part of the value beyond a tenant's share"`
	Decay                 string  `toml:"decay" def:"halves" one:"halves|evenly" doc:"how value falls after the latency objective"`
}

// Goal weighs the day's figure.
type Goal struct {
	Overall     float64 `toml:"whole" def:"0.5" in:"0..1" doc:"the whole day"`
	WorstWindow float64 `toml:"worst_window" def:"0.3" in:"0..1" doc:"the worst 10 s"`
	Class       float64 `toml:"worst_workload" def:"0.2" in:"0..1" doc:"the worst class"`
	Tenant      float64 `toml:"worst_party" def:"0" in:"0..1" doc:"the worst tenant"`
}

// Prices come off the day's figure.
type Prices struct {
	Waste     float64 `toml:"waste" def:"0.1" in:"0..10" doc:"calls that delivered nothing, for each message"`
	Handshake float64 `toml:"handshake" def:"0.02" in:"0..10" doc:"new connections, for each message"`
	Refused   float64 `toml:"refused" def:"0" in:"0..10" doc:"calls refused, for each message"`
}

// FaultSpec is something that goes wrong.
type FaultSpec struct {
	Kind               string  `toml:"kind" one:"refuse|silent|hang|shut|errors|swallow|resets|slow|pauses|shrink|crowd|drain|replace|courier-kill|courier-roll|courier-stand|flood|directory-down" doc:"what"`
	At                 Range   `toml:"at_s" def:"[10,10]" in:"0..86400" unit:"s" doc:"when it begins"`
	Length             Range   `toml:"length_s" def:"[10,10]" in:"0.01..86400" unit:"s" doc:"how long it lasts"`
	Share              float64 `toml:"part" def:"0.2" in:"0..1" doc:"share of the traffic (or of the couriers) that it affects"`
	Scope              string  `toml:"by" def:"any" one:"any|zone" doc:"zone: only endpoints of one building"`
	Of                 string  `toml:"of" def:"" doc:"only destinations of this kind; for flood: the tenant"`
	AllEndpointsChance float64 `toml:"whole" def:"0.8" in:"0..1" doc:"chance that all endpoints of a destination are struck, and not one"`
	Size               Range   `toml:"size" def:"[0,0]" in:"0..10000" doc:"how much; see the table of troubles"`
	EffectShare        float64 `toml:"acts" def:"0.5" in:"0..1" doc:"share of calls without a good answer that take effect all the same (hang, errors, resets)"`
}

// RandomFaults draws further troubles.
type RandomFaults struct {
	Count [2]int   `toml:"troubles" def:"[0,0]" in:"0..20" doc:"how many"`
	Kinds []string `toml:"kinds" def:"" doc:"from these kinds; none: from all"`
}
