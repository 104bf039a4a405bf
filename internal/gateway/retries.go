package gateway

import (
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/peers"
	"github.com/dunlinpulley/dunlinpulley/internal/retrybudget"
)

// retryBudget returns the retry budget of a service. The caller must hold g.mu.
func (g *Gateway) retryBudget(service string) *retrybudget.Budget {
	b := g.retryBudgets[service]
	if b == nil {
		b = retrybudget.New(0, g.settings.RetryWindow, g.settings.RetryRatio, g.settings.RetryExtra)
		g.retryBudgets[service] = b
	}
	return b
}

// countRequest counts a request towards the retry budget of its service.
func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(service).RecordRequest(g.now())
}

// takeRetry takes a retry from the budget of a service and reports whether one was left.
func (g *Gateway) takeRetry(service string) bool {
	gateways := extraDivisor(g.peers.Divide())
	g.mu.Lock()
	defer g.mu.Unlock()
	taken := g.retryBudget(service).TakeRetry(g.now(), gateways)
	g.instruments.retriesOf(service, taken).Inc(1)
	return taken
}

// extraDivisor returns the number by which the extra retries are divided; 0 if this gateway has no share of them.
func extraDivisor(d peers.Division) int {
	if !d.Share {
		return 0
	}
	return d.Processes
}

// logDivision writes a change of the number by which the extra retries are divided. Only sweep calls it.
func (g *Gateway) logDivision() {
	d := g.peers.Divide()
	divisor := extraDivisor(d)
	g.instruments.extraDivisor.Update(float64(divisor))
	if divisor == g.loggedDivisor {
		return
	}
	g.loggedDivisor = divisor
	klog.InfoS("extra retries divided", "by", divisor, "gateways", d.Processes, "heard", d.Heard)
}

// retrySeries identifies a counter of retries.
type retrySeries struct {
	service string
	taken   bool
}

// retriesOf returns the counter of the retries of a service that the budget allowed, or refused. The caller must hold Gateway.mu.
func (m *instruments) retriesOf(service string, taken bool) tally.Counter {
	series := retrySeries{service, taken}
	counter := m.retries[series]
	if counter == nil {
		name := "repeats_refused_total"
		if taken {
			name = "repeats_total"
		}
		counter = m.registry.Scope.Tagged(map[string]string{"service": service}).Counter(name)
		m.retries[series] = counter
	}
	return counter
}
