package load

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Mix is the content of a JSON file with comments that describes the calls to send.
type Mix struct {
	Classes []Class `json:"classes"`
	Bursts  []Burst `json:"bursts"`
	// Keys maps teams to their API keys.
	Keys map[string]string `json:"keys"`
}

// ReadMix reads and checks a mix.
func ReadMix(file string) (Mix, error) {
	var mix Mix
	data, err := os.ReadFile(file)
	if err != nil {
		return mix, eris.Wrap(err, "read the mix")
	}
	if data, err = hujson.Standardize(data); err == nil {
		err = json.Unmarshal(data, &mix)
	}
	if err != nil {
		return mix, eris.Wrapf(err, "mix %s", file)
	}
	for _, c := range mix.Classes {
		if len(c.Pipeline.Stages) == 0 || len(c.Teams) == 0 || c.Rate <= 0 || c.DeadlineMillis <= 0 {
			return mix, eris.Errorf("mix %s: class %q needs a pipeline, teams, a rate and a deadline", file, c.Name)
		}
	}
	return mix, nil
}
