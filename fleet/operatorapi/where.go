package operatorapi

// PathWhere is served by the listener of the readiness probe. The key of the call's team
// is the bearer token of the request and no parameter, since addresses are logged.
const PathWhere = "/where"

// Parameters of PathWhere.
const (
	WhereHost   = "host"
	WherePath   = "path"
	WhereID     = "id"     // the identifier of the call
	WherePrompt = "prompt" // ID:TOKENS of the parts, separated by commas
	WhereTokens = "tokens"
	WherePieces = "pieces" // of each stage, separated by commas
)

// Where says where a call would go, and why.
type Where struct {
	Route   string `json:"route,omitempty"`
	Team    string `json:"team,omitempty"`
	Rank    int    `json:"rank"`
	Service string `json:"service,omitempty"`
	// Zone is that of the shards; empty if no service is divided.
	Zone   string       `json:"zone,omitempty"`
	Stages []WhereStage `json:"stages,omitempty"`
	// Owner is the instance that chooses, if it is another one.
	Owner string `json:"owner,omitempty"`
	// Runners are those that were considered, the preferred first.
	Runners []WhereRunner `json:"runners,omitempty"`
	Chosen  string        `json:"chosen,omitempty"`
	Refusal *WhereRefusal `json:"refusal,omitempty"`
}

// WhereStage is the forecast of one stage.
type WhereStage struct {
	Stage      int    `json:"stage"`
	Service    string `json:"service"`
	Zone       string `json:"zone,omitempty"`
	WaitMicros int64  `json:"waitMicros"`
	Refused    bool   `json:"refused,omitempty"`
	// Owner is the instance that decides, if it is another one.
	Owner string `json:"owner,omitempty"`
}

// WhereRunner is a runner that was considered, with what counted.
type WhereRunner struct {
	ID             string  `json:"id"`
	Zone           string  `json:"zone"`
	Version        string  `json:"version,omitempty"`
	Running        int     `json:"running"`
	CostMicros     int64   `json:"costMicros"`
	ExpectedMicros int64   `json:"expectedMicros"`
	Slowdown       float64 `json:"slowdown"`
	Backoff        bool    `json:"backoff,omitempty"`
	PauseMillis    int64   `json:"pauseMillis,omitempty"`
	Cold           bool    `json:"cold,omitempty"`
	// NoPermit is set if a cold runner takes no call now.
	NoPermit bool `json:"noPermit,omitempty"`
	// Withheld is set if a rollout sends the call to another version.
	Withheld bool         `json:"withheld,omitempty"`
	Engine   *WhereEngine `json:"engine,omitempty"`
}

// WhereEngine is what counted of an engine.
type WhereEngine struct {
	Placed int `json:"placed"`
	// Unread and Pending are the tokens to read of this prompt and of other calls.
	Unread  int     `json:"unread"`
	Pending int     `json:"pending"`
	Speed   float64 `json:"speed"`
}

// WhereRefusal is the reason why the call would be refused.
type WhereRefusal struct {
	Kind        string `json:"kind"`
	Reason      string `json:"reason"`
	RetryMillis int64  `json:"retryMillis,omitempty"`
}
