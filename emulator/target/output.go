package target

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Output returns the deterministic answer of every emulated target to these
// arguments, so that a test can compare whole answers. With maxTokens above 0 the
// text is the concatenation of exactly that many tokens; otherwise tokens is nil.
func Output(stage string, inputs []string, model string, maxTokens int) (text string, tokens []string) {
	digest := outputDigest(stage, inputs, model)
	if maxTokens <= 0 {
		return stage + ":" + digest, nil
	}
	tokens = make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = "t" + strconv.Itoa(i) + "-" + digest[:8] + " "
	}
	return strings.Join(tokens, ""), tokens
}

// outputDigest returns a hash of the arguments and of the boundaries between them.
func outputDigest(stage string, inputs []string, model string) string {
	hash := xxhash.New()
	writeField(hash, stage)
	writeField(hash, model)
	for _, input := range inputs {
		writeField(hash, input)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

func writeField(hash *xxhash.Digest, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = hash.Write(length[:])
	_, _ = hash.WriteString(field)
}
