package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// The size of a deployment for which the product is designed.
const (
	targetAccounts    = 17_000
	targetAgents      = 860
	targetEntries     = 400
	targetModels      = 7
	targetDataCentres = 7
	targetOperators   = 4
)

// configSize counts the documents of a configuration that vary in number.
type configSize struct {
	accounts, agents, entries int
}

func scalar(text string) declaration.Scalar { return declaration.Scalar{Text: text} }

// Names by index. Endpoint i serves model i modulo targetModels, and data centres
// repeat after targetDataCentres.

func accountName(i int) string    { return fmt.Sprintf("account-%05d", i) }
func endpointName(i int) string   { return fmt.Sprintf("desk-%d-%04d", i%targetModels, i) }
func entryName(i int) string      { return fmt.Sprintf("entry-%03d", i) }
func modelName(i int) string      { return fmt.Sprintf("model-%d", i) }
func serviceName(i int) string    { return fmt.Sprintf("desk-%d", i) }
func dataCentreName(i int) string { return fmt.Sprintf("centre-%d", i%targetDataCentres) }

// keyHash returns the hash of a key that is unique to the name.
func keyHash(name string) declaration.Scalar {
	sum := sha256.Sum256([]byte(name))
	return scalar(hex.EncodeToString(sum[:]))
}

// documents returns the declarations of a configuration: one service for each
// model, a template with a class for each tier, and a plain service for keyed calls.
func documents(size configSize) ([]*pb.Document, error) {
	bodies := map[declaration.Key]declaration.Body{}
	bodies[declaration.KeyOf(declaration.KindTemplate, "shop")] = shopTemplate()
	bodies[declaration.KeyOf(declaration.KindService, "orders")] = &declaration.Service{Type: scalar("plain")}
	for i := range targetModels {
		bodies[declaration.KeyOf(declaration.KindService, serviceName(i))] = &declaration.Service{
			Type: scalar("model"), Models: []declaration.Scalar{scalar(modelName(i))},
		}
	}
	for i := range targetOperators {
		name := fmt.Sprintf("operator-%d", i)
		bodies[declaration.KeyOf(declaration.KindOperator, name)] = &declaration.Operator{TokenHash: keyHash(name)}
	}
	for i := range size.accounts {
		bodies[declaration.KeyOf(declaration.KindAccount, accountName(i))] = accountDeclaration(i)
	}
	for i := range size.agents {
		bodies[declaration.KeyOf(declaration.KindEndpoint, endpointName(i))] = endpointDeclaration(i)
	}
	bodies[declaration.KeyOf(declaration.KindEndpoint, "orders-1")] = ordersEndpoint()
	for i := range size.entries {
		bodies[declaration.KeyOf(declaration.KindEntry, entryName(i))] = &declaration.Entry{
			DataCentre: scalar(dataCentreName(i)), PeerAddress: scalar(address(2, i)),
		}
	}
	docs := make([]*pb.Document, 0, len(bodies))
	for key, body := range bodies {
		doc, err := declaration.EncodeDocument(key, body)
		if err != nil {
			return nil, err
		}
		docs = append(docs, doc)
	}
	return docs, nil
}

// address returns an address that no measurement connects to. It is unique for a
// network and index.
func address(network, i int) string { return fmt.Sprintf("127.%d.%d.%d:7000", network, i/250, i%250+1) }

func accountDeclaration(i int) *declaration.Account {
	name := accountName(i)
	return &declaration.Account{
		Template: scalar("shop"), DefaultClass: scalar("tier-0"),
		Parameters: map[string]declaration.Scalar{"reply": scalar("610ms"), "requests": scalar("50/s")},
		Limits:     declaration.Limits{Burst: scalar("100"), Concurrency: scalar("300"), Tokens: scalar("3000000/min")},
		KeyHashes:  []declaration.Scalar{keyHash(name)},
	}
}

func endpointDeclaration(i int) *declaration.Endpoint {
	return &declaration.Endpoint{
		Service: scalar(serviceName(i % targetModels)), DataCentre: scalar(dataCentreName(i / targetModels)),
		AgentAddress: scalar(address(1, i)), ChecksFencing: scalar("true"), Desired: scalar("serving"),
		Models: []declaration.Scalar{scalar(modelName(i % targetModels))}, Role: scalar("serve"),
	}
}

func ordersEndpoint() *declaration.Endpoint {
	return &declaration.Endpoint{
		Service: scalar("orders"), DataCentre: scalar(dataCentreName(0)), AgentAddress: scalar(address(3, 0)),
		ChecksFencing: scalar("true"), Desired: scalar("serving"),
	}
}

func shopTemplate() *declaration.Template {
	template := &declaration.Template{
		Parameters: []declaration.Parameter{
			{Name: scalar("reply"), Type: scalar("duration"), Default: scalar("610ms")},
			{Name: scalar("requests"), Type: scalar("rate"), Default: scalar("5/s")},
		},
		Limits: declaration.Limits{Requests: scalar("$requests")},
	}
	for tier := range domain.TierCount {
		template.Classes = append(template.Classes, declaration.Class{
			Name: scalar(fmt.Sprintf("tier-%d", tier)), Service: scalar(serviceName(0)), Tier: scalar(fmt.Sprint(tier)),
			FirstToken: scalar("$reply"), BetweenTokens: scalar("27ms"), MaxWait: scalar("30s"), MaxTokens: scalar("2000"),
			Idempotent: scalar("true"), Retry: declaration.Retry{Attempts: scalar("3"), Budget: scalar("10%")},
		})
	}
	template.Classes = append(template.Classes, declaration.Class{
		Name: scalar("order"), Service: scalar("orders"), Tier: scalar("1"),
		FirstToken: scalar("1s"), MaxWait: scalar("15s"), Idempotent: scalar("false"),
	})
	return template
}

// configuration returns a configuration of revision 1.
func configuration(size configSize) (*declaration.Set, error) {
	docs, err := documents(size)
	if err != nil {
		return nil, err
	}
	return declaration.Empty().With(1, docs)
}
