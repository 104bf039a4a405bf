package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// defaultRetryAfter is the Retry-After of a call that another entry may accept, or
// of which MaxUnstarted attempts are proven not run.
const defaultRetryAfter = time.Second

// noEndpointRetryAfter is the Retry-After when no endpoint can take the call.
const noEndpointRetryAfter = 5 * time.Second

// onCallArrived admits a call or refuses it. A refused call has sent nothing to
// an agent, so its outcome is not-run.
func (c *Core) onCallArrived(in Call) {
	// A call that is shed on arrival reports the step of stageReserving.
	cl := &call{Call: in, arrived: c.now, stage: stageReserving}
	c.calls.add(cl)
	if failure, retryAfter := c.resolve(cl); failure.Code != CodeNone {
		c.finishIncomplete(cl, failure, retryAfter)
		return
	}
	cl.accountHash = uint32(xxhash.Sum64String(string(cl.Account)))
	cl.classHash = uint32(xxhash.Sum64String(string(cl.class.Name)))
	cl.deadline = cl.arrived.Add(c.maxWait(cl))
	c.account(cl.Account).budget(cl.Class).Deposit(cl.class.Retry.BudgetRatio)
	if c.addAndShed(cl) {
		c.checkLimits(cl)
	}
}

// startAfterLimits continues a call that is within its account's limits.
func (c *Core) startAfterLimits(cl *call) {
	if cl.needsClaim() {
		c.startClaim(cl)
		return
	}
	c.startReserving(cl)
}

// resolve sets the call's class, service and service kind from the configuration,
// and clears the model of a call to a plain service. If the call can't be
// admitted, it returns the failure and a Retry-After.
func (c *Core) resolve(cl *call) (Failure, time.Duration) {
	if c.stopping {
		return Failure{Code: CodeShuttingDown, Step: StepAdmit, Message: "this entry is shutting down"}, defaultRetryAfter
	}
	if c.config == nil {
		return Failure{Code: CodeNoEndpoint, Step: StepAdmit, Message: "no configuration yet"}, defaultRetryAfter
	}
	account, ok := c.config.Account(cl.Account)
	if !ok { // the caller API has accepted the account by another revision of the configuration
		return Failure{Code: CodeUnknownClass, Step: StepAdmit, Message: "unknown client account"}, 0
	}
	if cl.Class == "" {
		cl.Class = account.DefaultClass
	}
	cl.class, ok = c.config.Class(cl.Account, cl.Class)
	if !ok {
		return Failure{Code: CodeUnknownClass, Step: StepAdmit, Message: "unknown request class " + string(cl.Class)}, 0
	}
	if cl.Service == "" {
		cl.Service = cl.class.Service
	}
	service, ok := c.config.Service(cl.Service)
	if !ok {
		return Failure{Code: CodeUnknownService, Step: StepAdmit, Message: "unknown service " + string(cl.Service)}, 0
	}
	if cl.class.Service != "" && cl.class.Service != cl.Service {
		return Failure{Code: CodeUnknownClass, Step: StepAdmit,
			Message: "class " + string(cl.Class) + " is not for service " + string(cl.Service)}, 0
	}
	cl.kind = service.Kind
	if cl.kind == domain.ServicePlain {
		cl.Model = ""
	}
	// The caller API has accepted the model by another revision of the configuration.
	// CodeUnknownService has the same HTTP status as the code with which the caller
	// API refuses an unknown model.
	if cl.kind == domain.ServiceModel && len(service.Models) > 0 && !slices.Contains(service.Models, cl.Model) {
		return Failure{Code: CodeUnknownService, Step: StepAdmit, Message: "unknown model " + string(cl.Model)}, 0
	}
	p := c.pools.find(poolKey{service: cl.Service, model: cl.Model})
	if p.size() == 0 && len(c.config.Endpoints(cl.Service)) == 0 {
		return Failure{Code: CodeNoEndpoint, Step: StepAdmit, Message: "no endpoint is declared"}, noEndpointRetryAfter
	}
	return Failure{}, 0
}

// maxWait returns how long a call may wait for a grant. A call of a class that
// sheds late calls waits no longer than its first-token target.
func (c *Core) maxWait(cl *call) time.Duration {
	wait := cl.class.MaxWait
	if wait <= 0 {
		wait = c.settings.DefaultMaxWait
	}
	if cl.class.ShedLate && cl.class.FirstToken > 0 {
		wait = min(wait, cl.class.FirstToken)
	}
	return wait
}

// onCallerGone ends a call whose caller has closed its connection. A claimed
// call that was handed over runs to its end, so that a repeat gets its answer.
func (c *Core) onCallerGone(id domain.CallID) {
	cl := c.calls.byID[id]
	if cl == nil || cl.endReported {
		return
	}
	failure := Failure{Code: CodeCancelled, Step: cl.step(), Message: "the caller hung up"}
	if cl.claim != nil && cl.stage == stageHandedOver {
		c.reportCancelled(cl, failure)
		return
	}
	c.finishIncomplete(cl, failure, 0)
}

// step derives the Step that the call has reached from its stage and attempt.
func (cl *call) step() Step {
	switch {
	case cl.stage == stageLimitWait:
		return StepLimit
	case cl.stage == stageClaiming:
		return StepClaim
	case cl.stage == stageReserving:
		return StepReserve
	case cl.attempt != nil && cl.attempt.nextSeq > 1:
		return StepAnswer
	}
	return StepHandOver
}
