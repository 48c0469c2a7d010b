// Package scenario reads scenario files, which describe a fleet, its destinations, classes and traffic, and the faults that occur.
// Read checks a file. Draw derives all arrivals and all faults of a run from the file and a seed. The same seed always gives
// exactly the same run.
package scenario

// Range holds the bounds between which a value is drawn. Equal bounds give a fixed value.
type Range [2]float64

// Definition is the content of a scenario file. The tags define each key: its description (doc) and unit, its default (def; a key without
// one is required), its bounds (in) and its allowed values (one). Read, its checks and the page on the file format all use the tags.
type Definition struct {
	Name         string       `toml:"name" doc:"name of the scenario in reports"`
	About        string       `toml:"about" def:"" doc:"purpose of the scenario"`
	Seed         int64        `toml:"seed" def:"1" in:"0..9e15" doc:"seed, if the command gives none"`
	Length       float64      `toml:"length_s" in:"1..86400" unit:"s" doc:"how long clients submit messages; the run ends after the last deadline"`
	Load         Range        `toml:"load" def:"[0.8,0.8]" in:"0.001..10" unit:"of the full load" doc:"traffic, as a share of the full load"`
	Fleet        Fleet        `toml:"fleet" doc:"the couriers"`
	Traffic      Traffic      `toml:"traffic" doc:"messages that clients submit"`
	Kinds        []Kind       `toml:"kind" doc:"kinds of destinations, at least one"`
	Classes      []Class      `toml:"workload" doc:"message classes, at least one"`
	Tenants      []Tenant     `toml:"party" doc:"tenants with a quota; none: no quotas"`
	Clients      Clients      `toml:"clients" doc:"behavior of the clients"`
	Network      Network      `toml:"network" doc:"one-way network delays"`
	Directory    Directory    `toml:"directory" doc:"the list of endpoints"`
	Rules        Rules        `toml:"rules" doc:"parameters of the rules and of the recovery of destinations"`
	Goal         Goal         `toml:"goal" doc:"weights of the parts of the score; they are scaled to a sum of 1"`
	Prices       Prices       `toml:"prices" doc:"deductions from the score"`
	Faults       []FaultSpec  `toml:"trouble" doc:"faults that always occur"`
	RandomFaults RandomFaults `toml:"chance" doc:"additional random faults"`
}

// Fleet describes the couriers.
type Fleet struct {
	Couriers       int      `toml:"couriers" in:"1..10000" doc:"number of couriers"`
	ClientRouting  string   `toml:"entry" def:"front" one:"front|own" doc:"front: a client may reach any courier; own: each client has its own courier"`
	Zones          []string `toml:"zones" def:"a" doc:"zones over which couriers and endpoints are distributed"`
	SlotsFactor    float64  `toml:"slots_room" def:"2" in:"0.1..1000" doc:"slots of a courier, as a multiple of those that its part of the full load occupies"`
	MinSlots       int      `toml:"least_slots" def:"4" in:"1..100000" doc:"minimum number of slots of a courier"`
	QueueLimitTime float64  `toml:"hold_s" def:"6" in:"0.1..3600" unit:"s of the full load" doc:"limit on the open messages of a courier"`
	MinQueueLimit  int      `toml:"least_hold" def:"10" in:"1..1000000" doc:"minimum of that limit"`
	Tick           float64  `toml:"tick_ms" def:"5" in:"0.1..1000" unit:"ms" doc:"virtual time only: interval at which a courier handles its input"`
	MaxAttempts    int      `toml:"max_trips" def:"8" in:"1..100" doc:"maximum number of attempts of a message"`
	MayCancel      bool     `toml:"may_cancel" def:"true" doc:"couriers may cancel attempts"`
	SendRetryAfter bool     `toml:"may_advise" def:"true" doc:"a rejection may include a Retry-After time"`
	IdleTimeout    float64  `toml:"idle_s" def:"5" in:"0.1..3600" unit:"s" doc:"time after which idle connections are closed"`
	ConnectTimeout float64  `toml:"connect_ms" def:"1000" in:"10..60000" unit:"ms" doc:"time-out of connection attempts"`
	MaxRetryAfter  float64  `toml:"longest_advice_s" def:"2" in:"0..3600" unit:"s" doc:"longest Retry-After time that clients honor"`
}

// Traffic describes the messages that clients submit.
type Traffic struct {
	FullLoadPerSec float64 `toml:"full_per_s" in:"0.01..1000000" unit:"records/s" doc:"messages per second at full load"`
	Destinations   int     `toml:"destinations" in:"1..1000000" doc:"number of destinations"`
	Zipf           float64 `toml:"zipf" def:"0.9" in:"0..3" doc:"Zipf exponent of the distribution of traffic over destinations"`
	CourierZipf    float64 `toml:"uneven" def:"0" in:"0..3" doc:"Zipf exponent of the distribution over couriers; 0: even"`
	Swing          float64 `toml:"swing" def:"0.2" in:"0..0.95" doc:"amplitude of the traffic around its mean; one sine wave per run"`
	BurstShare     Range   `toml:"clumps" def:"[0.1,0.1]" in:"0..0.9" doc:"share of messages that arrive in bursts for one destination"`
	BurstSize      Range   `toml:"clump_s" def:"[1,3]" in:"0.01..60" unit:"s of the limit" doc:"size of a burst"`
	Keys           int     `toml:"keys" def:"200" in:"1..1000000" doc:"number of ordering keys, for classes in order"`
}

// Kind describes one kind of destination.
type Kind struct {
	Name                string   `toml:"name" doc:"name of the kind"`
	Share               float64  `toml:"share" def:"1" in:"0..1000" doc:"weight of the kind when destinations are assigned to kinds"`
	LoadBias            int      `toml:"lean" def:"0" in:"-1..1" doc:"1: mostly destinations with much traffic, -1: mostly those with little"`
	Endpoints           Range    `toml:"endpoints" def:"[1,3]" in:"1..64" doc:"number of endpoints of a destination"`
	ServiceTime         Range    `toml:"answer_ms" def:"[150,300]" in:"1..60000" unit:"ms" doc:"mean service time"`
	ServiceTimeCV       Range    `toml:"spread" def:"[0.4,0.7]" in:"0..5" doc:"coefficient of variation of the service time (lognormal)"`
	LimitFactor         Range    `toml:"headroom" def:"[1.2,2]" in:"0.1..1000" unit:"x its calls at full load" doc:"limit of a destination"`
	MinLimit            Range    `toml:"least_per_s" def:"[2,4]" in:"0.01..100000" unit:"calls/s" doc:"minimum of the limit"`
	CapacityFactor      Range    `toml:"spare" def:"[1.15,1.6]" in:"1..100" unit:"x the limit" doc:"capacity of a destination"`
	LimitKinds          []string `toml:"limits" def:"rate" one:"rate|window|none" doc:"kinds of limits, one drawn for each destination: rate (token bucket), window (calls per fixed window), none"`
	LimitWindow         float64  `toml:"window_ms" def:"1000" in:"10..60000" unit:"ms" doc:"length of a window"`
	CountThrottledShare float64  `toml:"refused_count" def:"0" in:"0..1" doc:"share of destinations at which refused calls count against the limit"`
	RetryAfterShare     Range    `toml:"tells" def:"[0.5,1]" in:"0..1" doc:"share of refusals that include a Retry-After time"`
	MinRetryAfter       Range    `toml:"wait_ms" def:"[200,900]" in:"0..600000" unit:"ms" doc:"shortest Retry-After time"`
	Connections         Range    `toml:"connections" def:"[0,0]" in:"0..1000" unit:"x calls served at once" doc:"maximum number of connections of an endpoint, including idle ones; 0: unlimited"`
	MinConnections      int      `toml:"least_connections" def:"8" in:"1..100000" doc:"minimum of that number, if it is limited"`
	Queue               Range    `toml:"queue_s" def:"[0.3,1]" in:"0..60" unit:"s of its capacity" doc:"queue length of an endpoint"`
	SeparateRoutes      bool     `toml:"apart" def:"false" doc:"each endpoint is a separate route with its own limit, outages and recovery"`
	PerCall             int      `toml:"per_call" def:"1" in:"1..100" doc:"maximum number of messages per call"`
	ItemCost            float64  `toml:"item_cost" def:"0.15" in:"0..1" unit:"x a call" doc:"work of each further message of a call"`
	Reports             bool     `toml:"reports" def:"false" doc:"answers include a load report: the share of the limit that is left, and the limit"`
	ReportEvery         float64  `toml:"report_ms" def:"300" in:"1..60000" unit:"ms" doc:"maximum age of a load report"`
	ReportNoise         float64  `toml:"report_noise" def:"0.08" in:"0..1" doc:"relative standard deviation of the values in a load report"`
	ErrorRate           Range    `toml:"error_rate" def:"[0,0.003]" in:"0..1" doc:"share of calls that fail without a fault"`
}

// Class describes one message class.
type Class struct {
	Name         string   `toml:"name" doc:"name of the class"`
	Share        float64  `toml:"share" def:"1" in:"0..1000" doc:"weight of the class when messages are assigned to classes"`
	Kinds        []string `toml:"kinds" def:"" doc:"kinds of destinations that get messages of the class; none: all"`
	Objective    float64  `toml:"quoted_s" in:"0.01..86400" unit:"s" doc:"latency objective"`
	Deadline     float64  `toml:"cut_off_s" in:"0.1..86400" unit:"s" doc:"deadline"`
	Priority     float64  `toml:"payoff" def:"1" in:"0..1e6" doc:"value of a delivered message"`
	LateValue    float64  `toml:"late_part" def:"0" in:"0..1" doc:"share of the value that is left at the deadline"`
	Idempotency  string   `toml:"repeat" def:"replayable" one:"replayable|referenced|single-use" doc:"replayable: may always be repeated; referenced: repeats are recognized by an idempotency key; single-use: at most once"`
	DedupWindow  float64  `toml:"window_s" def:"10" in:"0..86400" unit:"s" doc:"referenced: how long a repeat is recognized"`
	DedupOneZone bool     `toml:"one_zone" def:"false" doc:"referenced: only endpoints of the same zone recognize a repeat"`
	InOrder      bool     `toml:"in_order" def:"false" doc:"messages with the same ordering key are sent in the order in which they were accepted"`
}

// Tenant describes a sender with a quota.
type Tenant struct {
	Name  string  `toml:"name" doc:"name of the tenant"`
	Share float64 `toml:"share" in:"0..1" doc:"quota, as a share of the full load"`
	Usage float64 `toml:"usage" def:"1" in:"0..100" doc:"traffic, as a multiple of the quota"`
}

// Clients describes the behavior of the clients.
type Clients struct {
	Retries              int     `toml:"retries" def:"2" in:"0..20" doc:"how many times a rejected message is submitted again"`
	Backoff              Range   `toml:"backoff_ms" def:"[300,1400]" in:"1..600000" unit:"ms" doc:"wait before the first resubmission; doubled for each further one"`
	HonorRetryAfterShare float64 `toml:"heed" def:"0.7" in:"0..1" doc:"share of rejections whose Retry-After time the client honors"`
	ResubmitAfter        Range   `toml:"again_s" def:"[0.3,2]" in:"0.01..600" unit:"s" doc:"time after which the messages of a killed courier are submitted to another courier"`
	FailoverDelay        Range   `toml:"notice_s" def:"[1,4]" in:"0..600" unit:"s" doc:"time until the front stops sending messages to a killed courier"`
	CancelShare          float64 `toml:"leave" def:"0" in:"0..1" doc:"share of messages that the client cancels at a random time before the deadline, unless they have ended"`
}

// Network describes the one-way network delays.
type Network struct {
	SameZone      Range   `toml:"same_ms" def:"[2,6]" in:"0..10000" unit:"ms" doc:"within a zone"`
	CrossZone     Range   `toml:"cross_ms" def:"[5,15]" in:"0..10000" unit:"ms" doc:"between zones"`
	Client        float64 `toml:"client_ms" def:"0.1" in:"0..10000" unit:"ms" doc:"between client and courier"`
	HandshakeRTTs float64 `toml:"handshake_rtts" def:"2" in:"0..10" doc:"number of round trips that opening a connection takes"`
}

// Directory describes the discovery service, which serves the endpoint list.
type Directory struct {
	Mode        string `toml:"mode" def:"push" one:"push|ask" doc:"push: changes are sent to all couriers; ask: only to couriers with a watch"`
	Rates       string `toml:"rates" def:"rough" one:"none|rough|nominal" doc:"what the list contains as the limit: nothing, a value that is up to half too low or too high, the limit"`
	ChangeDelay Range  `toml:"notice_s" def:"[0.5,3]" in:"0..600" unit:"s" doc:"delay until a change is sent"`
	ListTime    Range  `toml:"call_ms" def:"[20,200]" in:"0..60000" unit:"ms" doc:"how long a poll of the complete list takes"`
}

// Rules holds the parameters of the rules and of the recovery of destinations.
type Rules struct {
	AnswerGrace           float64 `toml:"answer_slack_s" def:"0.02" in:"0..60" unit:"s" doc:"grace period for a final answer after the deadline"`
	DrainGrace            float64 `toml:"drain_grace_s" def:"0.5" in:"0..600" unit:"s" doc:"grace period for attempts after the notification of a drain"`
	SlowStartInitialShare float64 `toml:"cold_from" def:"0.2" in:"0.01..1" doc:"share of its capacity that a destination has at the start of a recovery"`
	SlowStart             float64 `toml:"ramp_s" def:"10" in:"0..3600" unit:"s" doc:"time until a recovering destination has its full capacity"`
	OverloadFactor        float64 `toml:"fall_multiple" def:"2.5" in:"0..100" doc:"a recovering destination is overloaded if it receives more than this multiple of its current capacity"`
	OverloadWindow        float64 `toml:"fall_span_s" def:"2" in:"0.01..600" unit:"s" doc:"time over which the calls are counted for that"`
	OverloadDowntime      float64 `toml:"fall_down_s" def:"15" in:"0.1..3600" unit:"s" doc:"how long an overloaded destination is down"`
	KeyCooldown           float64 `toml:"key_rest_s" def:"0" in:"0..600" unit:"s" doc:"cooldown of an ordering key after an attempt that may still be running"`
	OverQuotaFactor       float64 `toml:"over_share_part" def:"0.1" in:"0..1" doc:"share of the value of messages beyond the quota of their tenant"`
	Decay                 string  `toml:"decay" def:"halves" one:"halves|evenly" doc:"how the value falls after the latency objective: halves: by half per further objective; evenly: linearly until the deadline"`
}

// Goal holds the weights of the parts of the score.
type Goal struct {
	Overall     float64 `toml:"whole" def:"0.5" in:"0..1" doc:"value earned in the whole run"`
	WorstWindow float64 `toml:"worst_window" def:"0.3" in:"0..1" doc:"value earned in the worst 10 s"`
	WorstClass  float64 `toml:"worst_workload" def:"0.2" in:"0..1" doc:"value earned by the worst class"`
	WorstTenant float64 `toml:"worst_party" def:"0" in:"0..1" doc:"value earned by the worst tenant"`
}

// Prices holds the deductions from the score.
type Prices struct {
	Waste     float64 `toml:"waste" def:"0.1" in:"0..10" doc:"deduction per call without a delivery, divided by the number of messages"`
	Handshake float64 `toml:"handshake" def:"0.02" in:"0..10" doc:"deduction per new connection, divided by the number of messages"`
	Refused   float64 `toml:"refused" def:"0" in:"0..10" doc:"deduction per refused call, divided by the number of messages"`
}

// FaultSpec describes a fault that occurs during a run.
type FaultSpec struct {
	Kind               string  `toml:"kind" one:"refuse|silent|hang|shut|errors|swallow|resets|slow|pauses|shrink|crowd|drain|replace|courier-kill|courier-roll|courier-stand|flood|directory-down" doc:"kind of fault"`
	At                 Range   `toml:"at_s" def:"[10,10]" in:"0..86400" unit:"s" doc:"when the fault starts"`
	Length             Range   `toml:"length_s" def:"[10,10]" in:"0.01..86400" unit:"s" doc:"duration of the fault"`
	Share              float64 `toml:"part" def:"0.2" in:"0..1" doc:"share of the traffic (or of the couriers) that the fault affects"`
	Scope              string  `toml:"by" def:"any" one:"any|zone" doc:"zone: only endpoints of one zone"`
	Target             string  `toml:"of" def:"" doc:"only destinations of this kind; for flood: the tenant"`
	AllEndpointsChance float64 `toml:"whole" def:"0.8" in:"0..1" doc:"probability that the fault affects all endpoints of a destination instead of one"`
	Size               Range   `toml:"size" def:"[0,0]" in:"0..10000" doc:"magnitude; see the table of troubles"`
	EffectShare        float64 `toml:"acts" def:"0.5" in:"0..1" doc:"share of the affected calls that take effect anyway (hang, errors, resets)"`
}

// RandomFaults describes additional random faults.
type RandomFaults struct {
	Count [2]int   `toml:"troubles" def:"[0,0]" in:"0..20" doc:"number of faults"`
	Kinds []string `toml:"kinds" def:"" doc:"kinds from which they are drawn; none: all kinds"`
}
