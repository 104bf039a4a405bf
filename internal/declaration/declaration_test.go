package declaration_test

import (
	"crypto/sha256"
	"io/fs"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/examples"
	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

func loadExample(t testing.TB, name string) *declaration.Set {
	t.Helper()
	sub, err := fs.Sub(examples.FS, name)
	assert.NilError(t, err)
	set, err := declaration.Load(sub, 1)
	assert.NilError(t, err)
	return set
}

func TestClassResolvesTemplateParameters(t *testing.T) {
	set := loadExample(t, examples.PortHuron)
	gate, ok := set.Class("shaft-gate", "gate-reply")
	assert.Assert(t, ok)
	assert.DeepEqual(t, gate, domain.Class{
		Name: "gate-reply", Service: "desk", Tier: 0, FirstToken: 600 * time.Millisecond,
		BetweenTokens: 80 * time.Millisecond, MaxWait: 10 * time.Second, MaxTokens: 300,
		Idempotent: true, Retry: domain.RetryPolicy{Attempts: 3, BudgetRatio: 0.1},
	})
	account, ok := set.Account("shaft-gate")
	assert.Assert(t, ok)
	assert.DeepEqual(t, account.Limits, domain.Limits{
		RequestsPerSecond: 20, Burst: 80, Concurrency: 120, TokensPerMinute: 200000,
	})
	id, ok := set.AccountByKey(sha256.Sum256([]byte("example-only-port-huron-shaft-gate")))
	assert.Assert(t, ok)
	assert.Equal(t, id, domain.AccountID("shaft-gate"))
	_, ok = set.Operator(sha256.Sum256([]byte("example-only-port-huron-shaft-gate")))
	assert.Assert(t, !ok, "a client's key is not valid as an operator's token")
}

func TestExampleSizes(t *testing.T) {
	for name, services := range map[string][2]domain.ServiceName{
		examples.PortHuron: {"desk", "ticketing"},
		examples.Hwanyeong: {"assistant", "orders"},
	} {
		set := loadExample(t, name)
		assert.Equal(t, len(set.Endpoints(services[0])), 12)
		assert.Equal(t, len(set.Endpoints(services[1])), 4)
		assert.Equal(t, set.AccountCount(), 10)
		assert.Equal(t, len(set.Entries()), 3)
		dataCentres := make(map[domain.DataCentre]bool)
		for _, endpoint := range set.AllEndpoints() {
			dataCentres[endpoint.DataCentre] = true
		}
		assert.Equal(t, len(dataCentres), 4)
	}
}
