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

// Run runs the load against the targets, or against a deployment in this process,
// and reports the results.
func Run(ctx context.Context, s Settings) (*Report, error) {
	w, err := newWorkload(s.Deployment)
	if err != nil {
		return nil, err
	}
	plan := s.plan(w)
	if len(s.Targets) > 0 {
		dest := &entryDestination{urls: s.Targets, keyPrefix: s.KeyPrefix, seed: s.Seed}
		results := s.sendAll(ctx, newSender(dest, s.Seed), plan)
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
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	dest := s.newDestination(runCtx, d)
	start := time.Now()
	group.Go(func() error { return s.runEvents(runCtx, d, start) })
	group.Go(func() error {
		defer cancel()
		results = s.sendAll(ctx, newSender(dest, s.Seed), plan)
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

// warmUp waits for the warm-up time, in which new entries get their whole shares of
// the limits. Baselines use no entries and skip it.
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

// newDestination returns the endpoints for a baseline, otherwise the entries of the
// deployment. Polling of load reports ends with the context.
func (s *Settings) newDestination(ctx context.Context, d *app.Deployment) destination {
	if s.Baseline == BaselineNone {
		dest := &entryDestination{keyPrefix: s.KeyPrefix, seed: s.Seed}
		for _, e := range d.Entries {
			dest.urls = append(dest.urls, "http://"+e.CallerAddress)
		}
		return dest
	}
	dest := newDirectDestination(d.EngineAddresses, d.ServiceAddresses, s.Baseline == BaselineLeastLoad)
	if dest.leastLoad {
		go dest.pollReports(ctx)
	}
	return dest
}

// sendAll sends each call at its planned time, and waits for answers until
// settleTime after the last arrival. Calls in progress are then aborted.
func (s *Settings) sendAll(ctx context.Context, callSender *sender, plan []arrival) []result {
	callSender.start = time.Now()
	ctx, cancel := context.WithDeadline(ctx, callSender.start.Add(s.Duration+settleTime))
	defer cancel()
	results := make([]result, len(plan))
	var sent, ended atomic.Int64
	var calls sync.WaitGroup
	stop := s.reportProgress(&sent, &ended)
	defer stop()
	for i := range plan {
		if !sleepUntil(ctx, callSender.start.Add(plan[i].at)) {
			results = results[:i]
			break
		}
		sent.Add(1)
		calls.Go(func() {
			results[i] = callSender.send(ctx, &plan[i])
			ended.Add(1)
		})
	}
	calls.Wait()
	return results
}

// reportProgress calls s.Progress each second until stop is called.
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
