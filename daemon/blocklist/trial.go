package blocklist

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodTrial is the method by which an instance asks to run a request that is on trial.
const methodTrial = "quarantine.trial"

const (
	// trialAnswerWithin bounds that question: the caller waits.
	trialAnswerWithin = 200 * time.Millisecond
	// trialMargin, added to the time that a run may take, is for the news of its end to
	// reach the others.
	trialMargin = 2 * time.Second
	// maxTrial bounds the time that a run may take.
	maxTrial = time.Minute
	// askAgain is when a caller may come back whose request another run decides on.
	askAgain = time.Second
)

// Admit tells whether a request may be sent to targets, within left. A request on trial
// may if no other run of it is under way on any instance.
func (b *Blocklist) Admit(ctx context.Context, digest quarantine.Digest, left time.Duration) quarantine.Verdict {
	v := b.Judge(digest)
	if v.State != quarantine.OnTrial {
		return v
	}
	if !b.wasDenied(digest) && b.askTrial(ctx, digest, left) {
		return v
	}
	b.deny(digest)
	v.State, v.Remaining = quarantine.Blocked, askAgain
	return v
}

// wasDenied tells whether a trial of the request was denied within the last askAgain, so that
// a request that comes often doesn't ask each time.
func (b *Blocklist) wasDenied(digest quarantine.Digest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.denied[digest])
}

func (b *Blocklist) deny(digest quarantine.Digest) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !now.Before(b.denied[digest]) {
		b.denied[digest] = now.Add(askAgain)
	}
}

// askTrial asks the instance that decides on trials of a request.
func (b *Blocklist) askTrial(ctx context.Context, digest quarantine.Digest, left time.Duration) bool {
	left = min(max(left, 0), maxTrial)
	owners := membership.Owners(b.cluster.View(), digest.String(), 1)
	if len(owners) == 0 || owners[0].Name == b.cluster.View().Self {
		return b.grantTrial(digest, left)
	}
	ctx, cancel := context.WithTimeout(ctx, trialAnswerWithin)
	defer cancel()
	var answer trialAnswer
	body, err := msgpack.Marshal(&trialAsk{digest[:], uint32(left.Milliseconds())})
	if err == nil {
		body, err = b.cluster.Call(ctx, owners[0].Address, methodTrial, body)
	}
	if err == nil {
		err = msgpack.Unmarshal(body, &answer)
	}
	if err != nil {
		telemetry.ErrorS(err, "Trial of a request not decided, it stays blocked", telemetry.Event{Digest: digest.String(), Peer: owners[0].Address})
		b.metrics.trials[trialUnanswered].Inc(1)
	}
	return answer.Granted
}

func (b *Blocklist) handleTrial(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var ask trialAsk
	var digest quarantine.Digest
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if len(ask.Digest) != len(digest) {
		return nil, errors.Newf("a digest of %d bytes", len(ask.Digest))
	}
	copy(digest[:], ask.Digest)
	left := min(time.Duration(ask.LeftMillis)*time.Millisecond, maxTrial)
	return msgpack.Marshal(&trialAnswer{b.grantTrial(digest, left)})
}

// grantTrial decides on a run that ends within left.
func (b *Blocklist) grantTrial(digest quarantine.Digest, left time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := b.table.GrantTrial(time.Now(), digest, left+trialMargin)
	outcome := trialDenied
	if granted {
		outcome = trialGranted
		telemetry.InfoS("Request on trial, one run is allowed", telemetry.Event{Digest: digest.String(), Remaining: left})
	}
	b.metrics.trials[outcome].Inc(1)
	return granted
}
