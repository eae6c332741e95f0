package blocklist

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
)

// maxGossipRecords and maxSampleRecords limit the records of one message. A record takes about
// 50 bytes.
const (
	maxGossipRecords = 64
	maxSampleRecords = 12
)

// exchangeMessage is the request and the response of methodExchange. Its fields are sent by name.
type exchangeMessage struct {
	// Ask requests a sample.
	Ask     bool
	Crashes []crashMessage
}

// crashMessage is one record. Its fields are sent by name, so that a later version can add
// fields.
type crashMessage struct {
	Digest    []byte `msgpack:"d"`
	Target    string `msgpack:"t"`
	AgeMillis uint32 `msgpack:"a"`
	Cleared   bool   `msgpack:"c"`
	Part      bool   `msgpack:"p,omitempty"`
}

func encodeCrashes(crashes []quarantine.Crash) []crashMessage {
	messages := make([]crashMessage, 0, len(crashes))
	for _, c := range crashes {
		messages = append(messages, crashMessage{
			Digest: c.Digest[:], Target: c.Target, AgeMillis: uint32(c.Age.Milliseconds()), Cleared: c.Cleared, Part: c.Part,
		})
	}
	return messages
}

// decode returns the record, or false if the message is malformed.
func (m crashMessage) decode() (quarantine.Crash, bool) {
	var digest quarantine.Digest
	if len(m.Digest) != len(digest) {
		return quarantine.Crash{}, false
	}
	copy(digest[:], m.Digest)
	age := time.Duration(m.AgeMillis) * time.Millisecond
	return quarantine.Crash{Digest: digest, Target: m.Target, Age: age, Cleared: m.Cleared, Part: m.Part}, true
}

// trialRequest is the request of methodTrial. LeftMillis is the maximum time of the run. Its
// fields are sent by name.
type trialRequest struct {
	Digest     []byte
	LeftMillis uint32
}

// trialResponse is the response of methodTrial.
type trialResponse struct{ Granted bool }
