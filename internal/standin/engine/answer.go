package engine

import (
	"math"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/chat"
)

// Answer lengths in tokens follow a log-normal distribution with this median and
// sigma, clamped to the minimum and maximum.
const (
	minAnswerTokens    = 4
	maxAnswerTokens    = 400
	medianAnswerTokens = 40
	answerTokensSigma  = 0.8
)

// bytesPerToken is the number of bytes of a prompt that count as one token.
const bytesPerToken = 4

const tokenLetters = "abcdefghijklmnopqrstuvwxyz"

// Answer returns the tokens of the answer to a prompt. It is deterministic in
// seed and prompt. A positive maxTokens truncates the answer; zero does not.
func Answer(seed uint64, prompt string, maxTokens int) []string {
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(prompt)))
	length := randomAnswerLength(rng)
	if maxTokens > 0 && length > maxTokens {
		length = maxTokens
	}
	tokens := make([]string, length)
	for i := range tokens {
		tokens[i] = randomToken(rng)
	}
	return tokens
}

// Prompt renders a conversation as prompt text, one line per message.
func Prompt(messages []chat.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// PromptTokens returns the number of tokens in a prompt, at bytesPerToken bytes
// per token, rounded up.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

func randomAnswerLength(rng *rand.Rand) int {
	n := int(medianAnswerTokens * math.Exp(answerTokensSigma*rng.NormFloat64()))
	return min(max(n, minAnswerTokens), maxAnswerTokens)
}

func randomToken(rng *rand.Rand) string {
	word := make([]byte, 2+rng.IntN(5), 8)
	for i := range word {
		word[i] = tokenLetters[rng.IntN(len(tokenLetters))]
	}
	return string(word) + " "
}
