package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// schedulingSettings turn on the decisions under load.
const schedulingSettings = "[scheduling]\naccount_sharing = true\nretry_reservations = true\nresult_flow_control = true\ncost_placement = true\n"

// What targets bear in runs with several accounts: three plain ones 30 requests a second together, two of
// stages 80 pieces a second, which are 20 requests of four pieces.
const (
	scarcePlainTime  = 200 * time.Millisecond
	scarcePlainSlots = 2
	scarcePlainQueue = 8
	scarceStageCall  = 100 * time.Millisecond
	scarceStageBatch = 4
	// scarceObjective is ten calls, as in the loads of the requirements: requests that can't meet their
	// objectives at all yield, whatever the share of their account.
	scarceObjective = time.Second
)

const (
	// largeAccount sends several times what targets bear, the others less than a third of it.
	largeAccount = "account-1"
	// minOverload and maxOverload bound the time for which it does so, maxOverloadPause the time between.
	minOverload, maxOverload = 2 * time.Second, 5 * time.Second
	maxOverloadPause         = time.Second
	// quietOverload is the time of the overload before the faults, some times the half-life of the accounts' rates.
	quietOverload = 4 * time.Second
	// maxRetryShare is the share of the time that is left that a caller waits at most for a retry: one in N.
	maxRetryShare = 3
)

var smallAccounts = []string{"account-2", "account-3"}

// accountLoads are the rates in requests a second of each account, and of the large one in an overload. At the
// first ones all accounts together ask for less than what the targets of one data centre bear.
var accountLoads = []struct {
	path       string
	once       bool
	rate, much float64
}{
	{"/once/a", true, 2, 60}, {"/get/a", false, 2, 40}, {"/stream-staged/a", false, 3, 60},
}

// otherAccounts returns the keys of the small accounts, which follow from those of the large one.
func otherAccounts(keys []string) map[string][]string {
	others := map[string][]string{}
	for _, account := range smallAccounts {
		for _, key := range keys {
			others[account] = append(others[account], key+"-"+account)
		}
	}
	return others
}

// callerKey returns a key of an account. With several accounts it is one that is in force everywhere.
func (tb *testbed) callerKey(account string) string {
	keys := *tb.keys.Load()
	switch {
	case !tb.options.Accounts:
		return keys[0]
	case account == "" || account == largeAccount:
		return keys[settledKeyIndex]
	default:
		return keys[settledKeyIndex] + "-" + account
	}
}

// makeScarce limits what a target bears.
func makeScarce(t *standin.Target) {
	t.SetCallTime(scarceStageCall)
	if strings.HasPrefix(t.Incarnation, "plain-") {
		t.SetDelay(scarcePlainTime)
		t.SetSlots(scarcePlainSlots, scarcePlainQueue)
	}
}

// runAccounts has accounts compete for targets, beside faults and planned work.
func (tb *testbed) runAccounts() ([]callResult, []AccountCounts) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	crashes := make(chan []callResult, 1)
	go func() { crashes <- tb.runCrashCaller(ctx) }()
	calls, calmFrom := whileInUse(tb.runAccountCallers, func() {
		tb.overload.begin(quietOverload)
		time.Sleep(quietOverload)
		until := time.Now().Add(tb.options.Faults)
		var wg sync.WaitGroup
		wg.Go(func() { tb.runOverloads(until) })
		wg.Go(func() { tb.runPlannedWork(until, seriesPauseWithFaults) })
		wg.Go(func() { tb.injectEngineFaults(until) })
		wg.Go(func() { tb.runDrains(until) })
		wg.Go(func() { tb.cutInstances(until, maxOverlappingCut) })
		if tb.options.Pauses {
			wg.Go(func() { tb.pauseTargets(until) })
		}
		tb.injectFaults(until)
		wg.Wait()
	})
	stop()
	crashing := <-crashes
	tb.awaitNothingLeft(calmFrom)
	var all []callResult
	for _, c := range calls {
		all = append(all, c.tries...)
	}
	log := tb.readTargetLog()
	tb.checkColdLimit()
	tb.checkResults(all, crashing, log, calmFrom)
	tb.checkEndings(all, log)
	tb.checkRefusals(all)
	return all, tb.checkAccounts(calls, calmFrom)
}

// overloadLog records when the large account sends more than targets bear.
type overloadLog struct {
	mu    sync.Mutex
	spans []span
}

// runOverloads has the large account send more than targets bear, again and again until the given time.
func (tb *testbed) runOverloads(until time.Time) {
	random := rand.New(rand.NewPCG(tb.options.Seed, 9<<32))
	for time.Now().Before(until) {
		length := min(randomDuration(random, minOverload, maxOverload), time.Until(until))
		tb.overload.begin(length)
		time.Sleep(length + randomDuration(random, 0, maxOverloadPause))
	}
}

func (l *overloadLog) begin(length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.spans = append(l.spans, span{now, now.Add(length)})
}

// quiet reports whether a time is in the first overload, beside which there are no faults.
func (l *overloadLog) quiet(moment time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.spans) > 0 && l.spans[0].overlaps(span{moment, moment})
}

// at reports whether there was an overload at a time.
func (l *overloadLog) at(moment time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.spans {
		if s.overlaps(span{moment, moment}) {
			return true
		}
	}
	return false
}

// accountCall is a request of an account, with its retry if it was refused.
type accountCall struct {
	account string
	tries   []callResult
}

// served reports whether the request or its retry was served.
func (c *accountCall) served() bool {
	last := c.tries[len(c.tries)-1]
	return last.status == http.StatusOK && last.complete
}

// accountCaller sends the requests of an account for a path at an even rate.
type accountCaller struct {
	testbed *testbed
	account string
	load    int
	number  int
	client  *http.Client
	random  *rand.Rand

	mu    sync.Mutex
	calls []accountCall
}

// runAccountCallers sends the requests of all accounts until the context ends.
func (tb *testbed) runAccountCallers(ctx context.Context) []accountCall {
	var callers []*accountCaller
	var wg sync.WaitGroup
	for _, account := range append([]string{largeAccount}, smallAccounts...) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: callerTimeout}
		defer client.CloseIdleConnections()
		for load := range accountLoads {
			// The caller of crash requests has the number before the first one.
			number := tb.options.Callers + 1 + len(callers)
			c := &accountCaller{testbed: tb, account: account, load: load, number: number, client: client,
				random: rand.New(rand.NewPCG(tb.options.Seed, 10<<32+uint64(len(callers))))}
			callers = append(callers, c)
			wg.Go(func() { c.run(ctx) })
		}
	}
	wg.Wait()
	var all []accountCall
	for _, c := range callers {
		all = append(all, c.calls...)
	}
	return all
}

func (c *accountCaller) run(ctx context.Context) {
	var wg sync.WaitGroup
	load := accountLoads[c.load]
	// Accounts and paths start apart, so that their requests don't come together each time.
	offset := randomDuration(c.random, 0, time.Duration(float64(time.Second)/load.rate))
	for n, next := 0, time.Now().Add(offset); ctx.Err() == nil; n++ {
		if sleep(ctx, time.Until(next)); ctx.Err() != nil {
			break
		}
		a := callResult{
			id: fmt.Sprintf("%04x%06x", c.number, 2*n), path: load.path, once: load.once, account: c.account, deadline: requestDeadline,
			pieceCounts: [2]int{c.random.IntN(4), 1 + c.random.IntN(4)},
		}
		a.customBody = a.requestBody()
		retryID := fmt.Sprintf("%04x%06x", c.number, 2*n+1)
		instances := c.random.Perm(len(c.testbed.instances))
		wg.Go(func() { c.call(ctx, a, retryID, instances) })
		rate := load.rate
		if c.account == largeAccount && c.testbed.overload.at(time.Now()) {
			rate = load.much
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
	}
	wg.Wait()
}

// call sends a request and, if it is refused, once more with a new id: at another instance, after the time
// that it is told, but at most a third of the time that it has left.
func (c *accountCaller) call(ctx context.Context, a callResult, retryID string, instances []int) {
	due := time.Now().Add(a.deadline)
	c.try(&a, instances[0])
	call := accountCall{account: c.account, tries: []callResult{a}}
	left := time.Until(due)
	if a.refused() && left > 0 {
		sleep(ctx, min(a.retryAfter, left/maxRetryShare))
		retry := a
		retry.id, retry.deadline, retry.status, retry.body, retry.complete = retryID, time.Until(due), 0, "", false
		if ctx.Err() == nil {
			c.try(&retry, instances[1%len(instances)])
			call.tries = append(call.tries, retry)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

func (c *accountCaller) try(a *callResult, number int) {
	in := c.testbed.instances[number]
	a.instance, a.began, a.retryAfter = in.name, time.Now(), 0
	sender := caller{testbed: c.testbed, client: c.client}
	sender.send(a, in)
	a.ended = time.Now()
}
