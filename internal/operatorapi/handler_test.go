package operatorapi_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/examples"
	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
)

const (
	operatorToken = "example-only-port-huron-operator-alma"
	callerKey     = "example-only-port-huron-shaft-gate"
)

// fakeBackend records changes and orders. It answers every change with a
// conflict and every order as in force.
type fakeBackend struct {
	set     *declaration.Set
	applied []revision.Apply
	orders  []revision.OperateRequest
}

func (b *fakeBackend) Set() *declaration.Set { return b.set }

func (b *fakeBackend) Apply(_ context.Context, in revision.Apply) (revision.ApplyResult, error) {
	b.applied = append(b.applied, in)
	return revision.ApplyResult{Status: revision.ApplyConflict, Revision: 9, Winner: revision.ChangeRecord{Operator: "birk", Change: "c-8", Revision: 9}}, nil
}

func (b *fakeBackend) SetDesiredState(_ context.Context, in revision.OperateRequest) (revision.OperateResult, error) {
	b.orders = append(b.orders, in)
	return revision.OperateResult{Status: revision.OperateInForce, Running: 2}, nil
}

func (b *fakeBackend) Audit(context.Context, revision.AuditRequest) (revision.AuditResult, error) {
	return revision.AuditResult{}, nil
}

func (b *fakeBackend) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{}, nil
}

func newBackend(t *testing.T) *fakeBackend {
	sub, err := fs.Sub(examples.FS, examples.PortHuron)
	assert.NilError(t, err)
	set, err := declaration.Load(sub, 1)
	assert.NilError(t, err)
	return &fakeBackend{set: set}
}

func testOptions() operatorapi.Options {
	return operatorapi.Options{
		BootstrapTokenHash: sha256.Sum256([]byte("first")),
		Now:                func() time.Time { return time.Unix(0, 0) },
	}
}

func send(b *fakeBackend, method, path, token, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	operatorapi.New(b, testOptions()).ServeHTTP(recorder, request)
	return recorder
}

func TestOnlyOperatorsAreAuthorized(t *testing.T) {
	b := newBackend(t)
	for token, want := range map[string]int{
		operatorToken: http.StatusOK,
		callerKey:     http.StatusUnauthorized,
		"first":       http.StatusUnauthorized,
		"":            http.StatusUnauthorized,
		"wrong":       http.StatusUnauthorized,
	} {
		assert.Equal(t, send(b, "GET", operatorapi.PathStatus, token, "").Code, want, token)
	}
	_, ok := b.set.AccountByKey(sha256.Sum256([]byte(operatorToken)))
	assert.Assert(t, !ok, "an operator's token must not be a caller's key")
}

func TestBootstrapTokenIsAcceptedOnlyWithoutOperators(t *testing.T) {
	b := &fakeBackend{set: declaration.Empty()}
	assert.Equal(t, send(b, "GET", operatorapi.PathStatus, "first", "").Code, http.StatusOK)
	assert.Equal(t, send(b, "GET", operatorapi.PathStatus, operatorToken, "").Code, http.StatusUnauthorized)
}

func TestApplyConflictReturnsTheWinner(t *testing.T) {
	b := newBackend(t)
	got := send(b, "POST", operatorapi.PathApply, operatorToken, `{"change":"c-1","base":8,"documents":[]}`)
	assert.Equal(t, got.Code, http.StatusConflict)
	assert.Equal(t, got.Body.String(), `{"status":"conflict","revision":9,"winner":{"revision":9,"change":"c-8","who":"birk","asked":0,"commit":""}}`+"\n")
	assert.Equal(t, b.applied[0].Operator, "alma")
	assert.Equal(t, send(b, "POST", operatorapi.PathApply, operatorToken, `{"change":"","base":8}`).Code, http.StatusBadRequest)
	assert.Equal(t, send(b, "POST", operatorapi.PathApply, operatorToken, `{"change":"c","bases":8}`).Code, http.StatusBadRequest)
}

func TestOrders(t *testing.T) {
	b := newBackend(t)
	got := send(b, "POST", "/v1/endpoints/desk-03/drain", operatorToken, `{"change":"d-1"}`)
	assert.Equal(t, got.Body.String(), `{"status":"in-force","running":2,"recorded":false,"revision":0}`+"\n")
	assert.Equal(t, string(b.orders[0].Endpoint)+" "+b.orders[0].Desired.String(), "desk-03 draining")
	assert.Equal(t, send(b, "POST", "/v1/endpoints/desk-03/reboot", operatorToken, `{"change":"d-1"}`).Code, http.StatusNotFound)
}

func TestNoSecretIsLoggedOrAnswered(t *testing.T) {
	var log bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&log)
	defer klog.LogToStderr(true)
	b := newBackend(t)
	var answers strings.Builder
	for _, token := range []string{operatorToken, callerKey, "wrong-token"} {
		for _, path := range []string{operatorapi.PathStatus, operatorapi.PathDocuments, "/v1/accounts/shaft-gate/classes/-"} {
			answers.WriteString(send(b, "GET", path, token, "").Body.String())
		}
	}
	klog.Flush()
	all := log.String() + answers.String()
	assert.Assert(t, strings.Contains(all, "operator refused"))
	for _, secret := range []string{operatorToken, callerKey, "wrong-token"} {
		assert.Assert(t, !strings.Contains(all, secret), secret)
	}
}
