package runner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// defaultTokens is the number of tokens that an engine generates when the input
// does not set it.
const defaultTokens = 16

// Work is the input of a caller and the output of each stage. The output of a
// stage is a function of its input alone, so that callers can verify answers.
type Work struct {
	// Stage and InputHash are empty in a caller's input.
	Stage     string `json:"stage,omitempty"`
	InputHash string `json:"inputHash,omitempty"`
	// Text is passed through unchanged, except by engines, which replace it
	// with the concatenated tokens.
	Text string `json:"text"`
	// Prefix identifies the part of the prompt that requests share.
	Prefix string `json:"prefix,omitempty"`
	// Tokens is the number of tokens to generate; zero means the default.
	Tokens int `json:"tokens,omitempty"`
}

// Output returns the output of a stage for input and, for an engine, the tokens
// of its text.
func Output(stage string, engine bool, input json.RawMessage) (output json.RawMessage, tokens []string, err error) {
	var w Work
	if err := json.Unmarshal(input, &w); err != nil {
		return nil, nil, eris.Wrapf(err, "input of stage %s", stage)
	}
	hash, err := hashOf(input)
	if err != nil {
		return nil, nil, err
	}
	w.Stage, w.InputHash = stage, hash
	if engine {
		tokens = tokensOf(w)
		w.Text = strings.Join(tokens, "")
	}
	output, err = json.Marshal(w)
	return output, tokens, eris.Wrapf(err, "output of stage %s", stage)
}

// hashOf returns the hash of the compacted JSON of input in hexadecimal.
func hashOf(input json.RawMessage) (string, error) {
	var buf bytes.Buffer
	if err := json.Compact(&buf, input); err != nil {
		return "", eris.Wrap(err, "compact the input")
	}
	return strconv.FormatUint(xxhash.Sum64(buf.Bytes()), 16), nil
}

func tokensOf(w Work) []string {
	n := w.Tokens
	if n <= 0 {
		n = defaultTokens
	}
	tokens := make([]string, n)
	for i := range tokens {
		sum := xxhash.Sum64String(w.InputHash + "/" + strconv.Itoa(i))
		tokens[i] = fmt.Sprintf("%04x ", sum&0xffff)
	}
	return tokens
}

// CheckAnswer compares an answer with the output expected for its request, where
// the input of each stage is the output of the stage before. Stages that stream
// run on engines.
func CheckAnswer(input json.RawMessage, p bundle.Pipeline, answer callerapi.Response) error {
	want := input
	for _, s := range p.Stages {
		var err error
		if want, _, err = Output(s.Name, s.Streams, want); err != nil {
			return err
		}
	}
	var got bytes.Buffer
	if err := json.Compact(&got, answer.Output); err != nil {
		return eris.Wrap(err, "compact the output of the answer")
	}
	if got.String() != string(want) {
		return eris.Errorf("found output %.200s, want %.200s", got.String(), want)
	}
	return nil
}
