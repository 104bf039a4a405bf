package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/lease"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
	"github.com/dunlinpulley/dunlinpulley/internal/usage"
)

const (
	// usageInterval is the time between two looks at what is due of usage reports.
	usageInterval = 100 * time.Millisecond
	// leaveTime limits the wait for the last counts to be acknowledged. It is below exitMargin.
	leaveTime = 300 * time.Millisecond
	// maxAccountNames bounds the names of accounts kept, those of former configurations among them.
	maxAccountNames = 100_000
)

// LeaseStore reads and writes the row of the lease.
type LeaseStore interface {
	// Read returns the value of the row and its version, nil and 0 if there is none, and the store's clock.
	Read(ctx context.Context) ([]byte, int64, confirmation.StoreTime, error)
	// Write sets the row if its version is ifVersion, 0 for none, and returns its new version and the store's clock. The
	// error of an outcome other than lease.Written says why.
	Write(ctx context.Context, value []byte, ifVersion int64) (lease.Outcome, int64, confirmation.StoreTime, error)
}

// ReportResult says how a call to the provider ended.
type ReportResult struct {
	Outcome usage.CallOutcome
	Status  int // 0 if there was no answer
	Cause   string
}

// UsageProvider sends usage reports.
type UsageProvider interface {
	// Report makes a call, within usage.CallTimeout. It asks mayCall right before it sends anything, and sends nothing if
	// that is false. Nothing of the call may reach the provider after its end.
	Report(ctx context.Context, c usage.Call, mayCall func() bool) ReportResult
}

// usageReports makes the calls and sends the messages that a usage.Reporter decides on.
type usageReports struct {
	gateway  *Gateway
	store    LeaseStore
	provider UsageProvider
	due      chan struct{} // holds a value if something may be due before the next tick

	mu       sync.Mutex
	reporter *usage.Reporter

	// These are used by run only.
	named *routing.Config // whose accounts are in names
	names map[usage.Account]string
}

// ReportUsage has the gateway take part in usage reports. It is called before Run.
func (g *Gateway) ReportUsage(store LeaseStore, provider UsageProvider) {
	s := g.settings.Usage
	g.usage = &usageReports{
		gateway: g, store: store, provider: provider, due: make(chan struct{}, 1), names: make(map[usage.Account]string),
		reporter: usage.New(usage.Settings{
			Holder: g.settings.Name, Start: uint64(g.started.UnixMicro()), Address: g.settings.PeerAddress.Addr(),
			Window: s.Window, Late: s.Late, Reentry: s.Reentry, CallsPerSecond: s.CallsPerSecond,
		}, bootclock.Now(), sinceEpoch()),
	}
}

// sinceEpoch returns the time of day as the time since the start of 1970.
func sinceEpoch() time.Duration { return time.Duration(time.Now().UnixNano()) }

// countRun counts a request that an endpoint has begun to run.
func (g *Gateway) countRun(c *call) {
	if g.usage == nil || c.account == nil {
		return
	}
	account := usage.AccountOf(c.account.Name)
	g.usage.mu.Lock()
	counted := g.usage.reporter.Count(bootclock.Now(), account)
	g.usage.mu.Unlock()
	if !counted {
		klog.ErrorS(nil, "run not counted", "request", c.request.ID, "account", c.account.Name, "cause", "too many accounts in a window")
	}
}

// LeaseNews returns the newest state of the lease that is known here, or false if there is none.
func (g *Gateway) LeaseNews() (usage.News, bool) {
	if g.usage == nil {
		return usage.News{}, false
	}
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	return g.usage.reporter.News()
}

// PeerLeaseNews records what a peer knows of the lease.
func (g *Gateway) PeerLeaseNews(n usage.News) {
	if g.usage == nil {
		return
	}
	g.usage.mu.Lock()
	g.usage.reporter.Hear(bootclock.Now(), n)
	g.usage.mu.Unlock()
}

// PeerUsage records a peer's counts and acknowledges them.
func (g *Gateway) PeerUsage(peer netip.Addr, m usage.Message) {
	if g.usage == nil {
		return
	}
	g.usage.mu.Lock()
	reply, ok := g.usage.reporter.Counts().Handle(peer, m)
	g.usage.mu.Unlock()
	if ok {
		g.peers.SendUsage(peer, reply)
	}
}

// sawEra records the store's era in an answer.
func (u *usageReports) sawEra(era int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reporter.SawEra(bootclock.Now(), era)
}

// run does what is due until the context ends.
func (u *usageReports) run(ctx context.Context) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-u.due:
		}
		u.step(ctx)
	}
}

// step does what is due.
func (u *usageReports) step(ctx context.Context) {
	u.readNames()
	alive := u.gateway.peers.Alive()
	u.mu.Lock()
	now := bootclock.Now()
	u.reporter.Tick(now, sinceEpoch())
	messages := u.reporter.Counts().Due(now, u.reporter.Targets(alive))
	storeCall, row, version := u.reporter.NextStoreCall(now, usage.Surroundings{Alive: alive, Name: u.name})
	call, calls := u.reporter.NextCall(now)
	events := u.reporter.Events()
	_, held := u.reporter.Held(now)
	u.mu.Unlock()
	for _, m := range messages {
		u.gateway.peers.SendUsage(m.To, m.Message)
	}
	u.record(events, held)
	switch storeCall {
	case usage.ReadRow:
		go u.read(ctx)
	case usage.WriteRow:
		go u.write(ctx, row, version)
	default:
	}
	if calls {
		go u.call(ctx, call)
	}
}

// ended has the next step follow at once.
func (u *usageReports) ended() {
	select {
	case u.due <- struct{}{}:
	default:
	}
}

// readNames takes over the names of the accounts in a new configuration.
func (u *usageReports) readNames() {
	config := u.gateway.config.Load()
	if config == nil || config == u.named {
		return
	}
	u.named = config
	if len(u.names) > maxAccountNames {
		clear(u.names)
	}
	for _, account := range config.Accounts() {
		hash := usage.AccountOf(account.Name)
		if other, ok := u.names[hash]; ok && other != account.Name {
			klog.ErrorS(nil, "accounts can't be told apart in usage reports", "account", account.Name, "other", other, "hash", hash)
		}
		u.names[hash] = account.Name
	}
}

// name returns the name of an account. It is called in step only.
func (u *usageReports) name(account usage.Account) (string, bool) {
	name, ok := u.names[account]
	return name, ok
}

// read reads the row.
func (u *usageReports) read(ctx context.Context) {
	defer u.ended()
	answer := lease.Answer{SentAt: bootclock.Now()}
	value, version, reading, err := u.store.Read(ctx)
	answer.ReceivedAt, answer.Reading = bootclock.Now(), reading
	var row *lease.Row
	if err == nil && version != 0 {
		var parsed lease.Row
		if parsed, err = lease.Parse(value); err == nil {
			row = &parsed
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.reporter.StoreFailed(answer.ReceivedAt, err.Error())
		return
	}
	u.reporter.Read(answer, row, version)
}

// write writes the row.
func (u *usageReports) write(ctx context.Context, row lease.Row, ifVersion int64) {
	defer u.ended()
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // numbers, strings and JSON only
	}
	answer := lease.Answer{SentAt: bootclock.Now()}
	outcome, version, reading, err := u.store.Write(ctx, value, ifVersion)
	answer.ReceivedAt, answer.Reading = bootclock.Now(), reading
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reporter.Wrote(outcome, answer, version, cause)
}

// call sends a report.
func (u *usageReports) call(ctx context.Context, c usage.Call) {
	defer u.ended()
	result := u.provider.Report(ctx, c, func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.reporter.MayCall(bootclock.Now(), c.Token)
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reporter.CallEnded(bootclock.Now(), c, result.Outcome, result.Status, result.Cause)
}

// stop has the lease released: another gateway goes on with it while this one finishes its requests.
func (u *usageReports) stop() {
	u.mu.Lock()
	u.reporter.Stop()
	u.mu.Unlock()
	u.ended()
}

// leave tells the last counts and waits until they are acknowledged and the lease is released, for leaveTime at most.
func (u *usageReports) leave() {
	u.mu.Lock()
	u.reporter.Counts().Leave()
	u.mu.Unlock()
	u.ended()
	for end := time.Now().Add(leaveTime); time.Now().Before(end); time.Sleep(leaveTime / 10) {
		alive := u.gateway.peers.Alive()
		u.mu.Lock()
		done := u.reporter.Stopped(bootclock.Now()) && u.reporter.Counts().Told(u.reporter.Targets(alive))
		u.mu.Unlock()
		if done {
			return
		}
	}
}
