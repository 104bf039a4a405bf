package app

import (
	"context"
	"io/fs"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/examples"
	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/netfault"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/platform"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/service"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// The embedded example deployments.
const (
	PortHuron = examples.PortHuron
	Hwanyeong = examples.Hwanyeong
)

// loopbackAddress listens on any free port of the loopback interface.
const loopbackAddress = "127.0.0.1:0"

// AnswerSeed is the seed from which embedded model engines generate their answers.
const AnswerSeed = 1

// DeploymentSettings are the settings of an embedded deployment.
type DeploymentSettings struct {
	// Name is PortHuron or Hwanyeong.
	Name string
	// Entries is the number of entries to start, at least 1. If fewer are declared,
	// all of them are started.
	Entries int
	// The addresses of the caller API and the operator API of the first entry. Empty
	// means any free loopback port.
	Listen       string
	AdminAddress string
	// Engine returns the options of the i-th model engine stand-in, in the order
	// of the declared endpoints. Nil means the defaults.
	Engine func(i int) engine.Options
	// ServiceTime is the time of one execution of a plain service. Zero means the
	// stand-in's default.
	ServiceTime time.Duration
	// Slots is the maximum number of concurrent attempts at a model engine. Zero
	// means defaultSlots.
	Slots int
}

const (
	// defaultSlots is the slot limit of an agent of a model engine.
	defaultSlots = 16
	// plainSlots is the slot limit of an agent of a plain service.
	plainSlots = 32
	// readyTimeout bounds the wait for the configuration to be in force everywhere.
	readyTimeout = 10 * time.Second
)

// Deployment runs the entries, agents and stand-ins of one deployment in this process.
type Deployment struct {
	Name     string
	Entries  []*Entry
	Agents   []*Agent
	Engines  []*engine.Engine
	Services []*service.Service
	Platform *platform.Platform
	// EngineAddresses and ServiceAddresses are in the order of Engines and Services.
	EngineAddresses  []string
	ServiceAddresses []string
	PlatformAddress  string

	servers []*netfault.Server
}

// StartDeployment starts a whole deployment on loopback and waits until its
// configuration is in force in each process.
func StartDeployment(s DeploymentSettings) (*Deployment, error) {
	d := &Deployment{Name: s.Name}
	if err := d.start(s); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(s DeploymentSettings) error {
	files, err := fs.Sub(examples.FS, s.Name)
	if err != nil {
		return errors.Wrapf(err, "step=examples peer=%s", s.Name)
	}
	set, err := declaration.Load(files, 1)
	if err != nil {
		return errors.Wrapf(err, "step=declarations peer=%s", s.Name)
	}
	network, err := d.listen()
	if err != nil {
		return err
	}
	d.Platform = platform.New(platform.Options{Network: network})
	d.PlatformAddress = network.Addr()
	network.Serve(d.Platform)
	endpoints, err := d.startEndpoints(s, set)
	if err != nil {
		return err
	}
	if err := d.startEntries(s, set); err != nil {
		return err
	}
	return d.configure(set, endpoints)
}

// listen returns a server on a free loopback port whose connections can be made
// to fail. Close closes it.
func (d *Deployment) listen() (*netfault.Server, error) {
	server, err := netfault.Listen(loopbackAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "step=listen peer=%s", loopbackAddress)
	}
	d.servers = append(d.servers, server)
	return server, nil
}

// startEndpoints starts a stand-in and an agent for each declared endpoint. It
// returns the endpoints' documents with the addresses that the agents listen on.
func (d *Deployment) startEndpoints(s DeploymentSettings, set *declaration.Set) ([]*pb.Document, error) {
	var endpoints []*pb.Document
	for _, ep := range set.AllEndpoints() {
		svc, _ := set.Service(ep.Service)
		settings := AgentSettings{
			Endpoint: string(ep.ID), DataCentre: string(ep.DataCentre), Listen: loopbackAddress, AdminAddress: loopbackAddress,
			Kind: KindPlain, Slots: plainSlots, Store: "http://" + d.PlatformAddress,
		}
		var err error
		if svc.Kind == domain.ServiceModel {
			settings.Kind = KindModel
			settings.Slots = defaultSlots
			if s.Slots > 0 {
				settings.Slots = s.Slots
			}
			settings.EndpointAddress, err = d.startEngine(s, ep)
		} else {
			settings.EndpointAddress, err = d.startPlainService(s, ep)
		}
		if err != nil {
			return nil, err
		}
		a, err := StartAgent(settings)
		if err != nil {
			return nil, err
		}
		d.Agents = append(d.Agents, a)
		doc, err := withAgentAddress(set, ep, a.Listen)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, doc)
	}
	return endpoints, nil
}

// startEngine starts the model engine stand-in of an endpoint and returns its address.
func (d *Deployment) startEngine(s DeploymentSettings, ep domain.Endpoint) (string, error) {
	options := engine.Options{}
	if s.Engine != nil {
		options = s.Engine(len(d.Engines))
	}
	options.Name = string(ep.ID)
	options.Seed = AnswerSeed
	options.IgnoreFencing = !ep.ChecksFencing
	network, err := d.listen()
	if err != nil {
		return "", err
	}
	options.Network = network
	e := engine.New(options)
	network.Serve(e)
	d.Engines = append(d.Engines, e)
	d.EngineAddresses = append(d.EngineAddresses, network.Addr())
	return network.Addr(), nil
}

// startPlainService starts the plain service stand-in of an endpoint and returns
// its address.
func (d *Deployment) startPlainService(s DeploymentSettings, ep domain.Endpoint) (string, error) {
	network, err := d.listen()
	if err != nil {
		return "", err
	}
	svc := service.New(service.Options{Name: string(ep.ID), ServiceTime: s.ServiceTime, Network: network})
	network.Serve(svc)
	d.Services = append(d.Services, svc)
	d.ServiceAddresses = append(d.ServiceAddresses, network.Addr())
	return network.Addr(), nil
}

// withAgentAddress returns an endpoint's document with another agent address.
func withAgentAddress(set *declaration.Set, ep domain.Endpoint, address string) (*pb.Document, error) {
	return modifiedDocument(set, declaration.KeyOf(declaration.KindEndpoint, string(ep.ID)), func(endpoint *declaration.Endpoint) {
		endpoint.AgentAddress.Text = address
	})
}

// withPeerAddress returns an entry's document with another peer address.
func withPeerAddress(set *declaration.Set, name, address string) (*pb.Document, error) {
	return modifiedDocument(set, declaration.KeyOf(declaration.KindEntry, name), func(entry *declaration.Entry) {
		entry.PeerAddress.Text = address
	})
}

// modifiedDocument returns a copy of a document of set with its body changed by modify.
func modifiedDocument[B declaration.Body](set *declaration.Set, key declaration.Key, modify func(B)) (*pb.Document, error) {
	doc, ok := set.Document(key)
	if !ok {
		return nil, errors.Newf("step=change peer=%s document does not exist", key)
	}
	body, err := declaration.DecodeDocument(doc)
	if err != nil {
		return nil, err
	}
	typed, ok := body.(B)
	if !ok {
		return nil, errors.Newf("step=change peer=%s document has another kind", key)
	}
	modify(typed)
	return declaration.EncodeDocument(key, typed)
}

// startEntries starts the first s.Entries declared entries.
func (d *Deployment) startEntries(s DeploymentSettings, set *declaration.Set) error {
	for i, peer := range set.Peers() {
		if i >= s.Entries {
			return nil
		}
		settings := EntrySettings{
			Name: string(peer.Entry), DataCentre: string(peer.DataCentre),
			Listen: loopbackAddress, AdminAddress: loopbackAddress, PeerListen: loopbackAddress, Store: "http://" + d.PlatformAddress,
		}
		if i == 0 && s.Listen != "" {
			settings.Listen = s.Listen
		}
		if i == 0 && s.AdminAddress != "" {
			settings.AdminAddress = s.AdminAddress
		}
		e, err := StartEntry(settings)
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, e)
	}
	return nil
}

// configure applies the declarations through the first entry and waits until
// they are in force in each process. Replacements are endpoint documents with the
// agents' actual addresses; configure adds the entries' documents with theirs.
func (d *Deployment) configure(set *declaration.Set, replacements []*pb.Document) error {
	for _, e := range d.Entries {
		doc, err := withPeerAddress(set, e.settings.Name, e.PeerAddress)
		if err != nil {
			return err
		}
		replacements = append(replacements, doc)
	}
	documents := mergeDocuments(set.Documents(), replacements)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	result, err := operatorBackend{d.Entries[0]}.Apply(ctx, revision.Apply{
		Operator: "embedded", Change: "embedded-start", AnyBase: true, Documents: documents, At: time.Now(),
	})
	if err != nil {
		return err
	}
	if result.Status != revision.ApplyAccepted {
		return errors.Newf("step=apply peer=%s %s: %s", d.Name, result.Status, result.Message)
	}
	return d.awaitRevision(ctx, result.Revision)
}

// mergeDocuments returns newer and those documents of old whose kind and name newer
// does not have.
func mergeDocuments(old, newer []*pb.Document) []*pb.Document {
	merged := make([]*pb.Document, 0, len(old)+len(newer))
	for _, doc := range old {
		if !containsDocument(newer, doc) {
			merged = append(merged, doc)
		}
	}
	return append(merged, newer...)
}

// containsDocument reports whether docs has a document with the kind and name of wanted.
func containsDocument(docs []*pb.Document, wanted *pb.Document) bool {
	for _, doc := range docs {
		if doc.GetKind() == wanted.GetKind() && doc.GetName() == wanted.GetName() {
			return true
		}
	}
	return false
}

// awaitRevision waits until a revision is in force in each entry and agent.
func (d *Deployment) awaitRevision(ctx context.Context, rev domain.Revision) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !d.hasRevision(rev) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "step=ready peer=%s", d.Name)
		case <-ticker.C:
		}
	}
	return nil
}

// hasRevision reports whether each entry is ready and each entry and agent has
// the revision or a newer one.
func (d *Deployment) hasRevision(rev domain.Revision) bool {
	for _, e := range d.Entries {
		if e.notReadyError() != nil || e.config.revision() < rev {
			return false
		}
	}
	for _, a := range d.Agents {
		if a.endpointConfig.revisionInForce() < rev {
			return false
		}
	}
	return true
}

// Close stops all entries, agents and stand-ins without draining them. It aborts
// calls in progress, and waits for runs at the endpoints to end or time out.
func (d *Deployment) Close() {
	for _, e := range d.Entries {
		e.Close()
	}
	for _, a := range d.Agents {
		a.Close()
	}
	for _, e := range d.Engines {
		e.Close()
	}
	for _, server := range d.servers {
		server.Close()
	}
}
