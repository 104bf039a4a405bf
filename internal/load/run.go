package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dunlinpulley/dunlinpulley/internal/app"
)

// Run sends the load and reports what its callers got.
func Run(ctx context.Context, s Settings) (*Report, error) {
	t, err := newTraffic(s.Deployment)
	if err != nil {
		return nil, err
	}
	plan := s.plan(t)
	if len(s.Targets) > 0 {
		r := &entryRouter{urls: s.Targets, keyPrefix: s.KeyPrefix, seed: s.Seed}
		results := s.sendAll(ctx, newSender(r, s.Seed), plan)
		return newReport(&s, results), nil
	}
	return s.runEmbedded(ctx, plan)
}

// runEmbedded runs the load against a deployment in this process.
func (s *Settings) runEmbedded(ctx context.Context, plan []arrival) (*Report, error) {
	d, err := app.StartDeployment(app.DeploymentSettings{
		Name: s.Deployment, Entries: entryCount, Engine: engineOptions, Slots: engineBatch,
	})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if err := s.warmUp(ctx); err != nil {
		return nil, err
	}
	var results []result
	group, ctx := errgroup.WithContext(ctx)
	running, stop := context.WithCancel(ctx)
	defer stop()
	r := s.newRouter(running, d)
	start := time.Now()
	group.Go(func() error { return s.runEvents(running, d, start) })
	group.Go(func() error {
		defer stop()
		results = s.sendAll(ctx, newSender(r, s.Seed), plan)
		return nil
	})
	err = group.Wait()
	if err != nil {
		return nil, err
	}
	report := newReport(s, results)
	report.addCounters(d, results)
	return report, nil
}

// warmUp waits before the first arrival. Baselines have no shares to fill.
func (s *Settings) warmUp(ctx context.Context) error {
	if s.Baseline != BaselineNone {
		return nil
	}
	select {
	case <-time.After(s.WarmUp):
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "step=warm-up")
	}
}

// newRouter returns the router of the baseline, or the deployment's entries.
func (s *Settings) newRouter(ctx context.Context, d *app.Deployment) router {
	if s.Baseline == BaselineNone {
		r := &entryRouter{keyPrefix: s.KeyPrefix, seed: s.Seed}
		for _, e := range d.Entries {
			r.urls = append(r.urls, "http://"+e.Caller)
		}
		return r
	}
	r := newDirectRouter(d.EngineAddresses, d.ServiceAddresses, s.Baseline == BaselineLeastLoad)
	if r.leastLoad {
		go r.pollReports(ctx)
	}
	return r
}

// sendAll sends each call at its time, and waits for the answers until the
// settle time is over. Calls that have not ended by then are cut off.
func (s *Settings) sendAll(ctx context.Context, out *sender, plan []arrival) []result {
	out.start = time.Now()
	ctx, cancel := context.WithDeadline(ctx, out.start.Add(s.Duration+settleTime))
	defer cancel()
	results := make([]result, len(plan))
	var sent, ended atomic.Int64
	var calls sync.WaitGroup
	stop := s.reportProgress(&sent, &ended)
	defer stop()
	for i := range plan {
		if !sleepUntil(ctx, out.start.Add(plan[i].at)) {
			results = results[:i]
			break
		}
		sent.Add(1)
		calls.Go(func() {
			results[i] = out.send(ctx, &plan[i])
			ended.Add(1)
		})
	}
	calls.Wait()
	return results
}

// reportProgress reports progress each second until it is stopped.
func (s *Settings) reportProgress(sent, ended *atomic.Int64) (stop func()) {
	if s.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.Progress(int(sent.Load()), int(ended.Load()))
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}
