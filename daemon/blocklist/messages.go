package blocklist

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
)

// newsPerMessage and samplePerMessage bound the records of one message, which take some
// 50 bytes each.
const (
	maxGossipRecords = 64
	maxSampleRecords = 12
)

// exchange is the body and the answer of methodExchange.
type exchangeMessage struct {
	// Ask asks for a sample.
	Ask     bool
	Crashes []crashMessage
}

// crashMessage is one record. Its fields have names on the wire, so that a later version may
// add some.
type crashMessage struct {
	Digest    []byte `msgpack:"d"`
	Target    string `msgpack:"t"`
	AgeMillis uint32 `msgpack:"a"`
	Cleared   bool   `msgpack:"c"`
}

func encodeCrashes(crashes []quarantine.Crash) []crashMessage {
	messages := make([]crashMessage, 0, len(crashes))
	for _, c := range crashes {
		messages = append(messages, crashMessage{
			Digest: c.Digest[:], Target: c.Target, AgeMillis: uint32(c.Age.Milliseconds()), Cleared: c.Cleared,
		})
	}
	return messages
}

// decode returns the record, false if it is malformed.
func (m crashMessage) decode() (quarantine.Crash, bool) {
	var digest quarantine.Digest
	if len(m.Digest) != len(digest) {
		return quarantine.Crash{}, false
	}
	copy(digest[:], m.Digest)
	age := time.Duration(m.AgeMillis) * time.Millisecond
	return quarantine.Crash{Digest: digest, Target: m.Target, Age: age, Cleared: m.Cleared}, true
}

// trialAsk is the body of methodTrial: LeftMillis is how long the run takes at most.
type trialRequest struct {
	Digest     []byte
	LeftMillis uint32
}

// trialAnswer is its answer.
type trialResponse struct{ Granted bool }
