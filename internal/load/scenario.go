package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/app"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/platform"
)

// stragglerFactor is the factor by which a straggler is slower than other engines.
const stragglerFactor = 6

// event is a fault or operator's order during a run.
type event struct {
	at  float64 // fraction of the run's duration
	run func(ctx context.Context, d *app.Deployment) error
}

// events returns the events of the scenario, in order of time.
func (s *Settings) events() []event {
	slow, crashed, muted := engine.Faults{Slow: stragglerFactor}, engine.Faults{Crashed: true}, engine.Faults{MuteOpen: true}
	switch s.Scenario {
	case ScenarioStraggler:
		return []event{{0.2, setEngineFaults(slow, 1, 5)}, {0.8, setEngineFaults(engine.Faults{}, 1, 5)}}
	case ScenarioCrash:
		return []event{{0.3, setEngineFaults(crashed, 2)}, {0.4, setEngineFaults(crashed, 7)}, {0.7, setEngineFaults(engine.Faults{}, 2, 7)}}
	case ScenarioSilentLink:
		// Engine 3 is muted twice, the second time after its connections were replaced.
		return []event{{0.3, setEngineFaults(muted, 3)}, {0.5, setEngineFaults(muted, 4)}, {0.7, setEngineFaults(muted, 3)}}
	case ScenarioStoreOutage:
		return []event{{0.2, setStoreFaults(platform.Faults{Unavailable: true})}, {0.8, setStoreFaults(platform.Faults{})}}
	case ScenarioDrain:
		return []event{{0.3, s.sendOrder(operatorapi.OrderDrain)}, {0.7, s.sendOrder(operatorapi.OrderUndrain)}}
	default:
		return nil
	}
}

// setEngineFaults returns a function that sets the faults of engines, given by index.
func setEngineFaults(f engine.Faults, engines ...int) func(context.Context, *app.Deployment) error {
	return func(_ context.Context, d *app.Deployment) error {
		for _, i := range engines {
			err := d.Engines[i].SetFaults(f)
			if err != nil {
				return err
			}
		}
		return nil
	}
}

// setStoreFaults returns a function that sets the faults of the table service.
func setStoreFaults(f platform.Faults) func(context.Context, *app.Deployment) error {
	return func(_ context.Context, d *app.Deployment) error { return d.Platform.SetFaults(f) }
}

// sendOrder returns a function that sends an operator's order to the drained endpoint.
func (s *Settings) sendOrder(order operatorapi.Order) func(context.Context, *app.Deployment) error {
	return func(ctx context.Context, d *app.Deployment) error {
		change := operatorapi.OrderRequest{Change: domain.ChangeID(fmt.Sprintf("load-%s-%d", order, s.Seed))}
		body, err := json.Marshal(change)
		if err != nil {
			return errors.Wrap(err, "step=operate")
		}
		url := fmt.Sprintf("http://%s/v1/endpoints/%s/%s", d.Entries[0].AdminAddress, drainedEndpoint[s.Deployment], order)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return errors.Wrapf(err, "step=operate peer=%s", url)
		}
		request.Header.Set("Authorization", "Bearer example-only-"+s.Deployment+"-operator-alma")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return errors.Wrapf(err, "step=operate peer=%s", url)
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
			return errors.Newf("step=operate peer=%s status=%d %s", url, response.StatusCode, text)
		}
		return nil
	}
}

// drainedEndpoint is the model endpoint that ScenarioDrain drains, by deployment.
var drainedEndpoint = map[string]string{app.PortHuron: "desk-01", app.Hwanyeong: "assistant-01"}

// runEvents runs each event of the scenario at its time, until the context ends.
func (s *Settings) runEvents(ctx context.Context, d *app.Deployment, start time.Time) error {
	for _, e := range s.events() {
		at := time.Duration(e.at * float64(s.Duration))
		if !sleepUntil(ctx, start.Add(at)) {
			return nil
		}
		err := e.run(ctx, d)
		if err != nil {
			return err
		}
		klog.InfoS("scenario event", "scenario", s.Scenario, "at", at)
	}
	return nil
}

// sleepUntil waits until a time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
