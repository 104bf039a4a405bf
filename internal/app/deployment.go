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

// The deployments that are embedded.
const (
	PortHuron = examples.PortHuron
	Hwanyeong = examples.Hwanyeong
)

// loopbackAddress is any free port of the loopback interface.
const loopbackAddress = "127.0.0.1:0"

// AnswerSeed decides the answers of the embedded model engines.
const AnswerSeed = 1

// DeploymentSettings are the settings of an embedded deployment.
type DeploymentSettings struct {
	// Name is PortHuron or Hwanyeong.
	Name string
	// Entries is the number of entries to start.
	Entries int
	// Listen and Admin are the addresses of the first entry.
	Listen string
	Admin  string
	// Engine makes the settings of a model engine stand-in, by its place in the
	// list of endpoints. Nil takes the defaults.
	Engine func(i int) engine.Options
	// ServiceTime is the time of one execution of a plain service. Zero takes the default.
	ServiceTime time.Duration
	// Slots is the most attempts that run at once at a model engine. Zero takes 16.
	Slots int
}

const (
	defaultSlots = 16
	plainSlots   = 32
	readyTimeout = 10 * time.Second
)

// Deployment is entries, agents and stand-ins of one deployment in this process.
type Deployment struct {
	Name     string
	Entries  []*Entry
	Agents   []*Agent
	Engines  []*engine.Engine
	Services []*service.Service
	Platform *platform.Platform
	// Addresses of the stand-ins, in the order of Engines, Services and for the platform.
	EngineAddresses  []string
	ServiceAddresses []string
	PlatformAddress  string

	servers []*netfault.Server
}

// StartDeployment starts a whole deployment on loopback and waits until it is ready.
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
	changes, err := d.startEndpoints(s, set)
	if err != nil {
		return err
	}
	if err := d.startEntries(s, set); err != nil {
		return err
	}
	return d.configure(set, changes)
}

// listen gives a stand-in an address of its own, whose connections can be made to fail.
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
	var changes []*pb.Document
	for _, ep := range set.AllEndpoints() {
		svc, _ := set.Service(ep.Service)
		settings := AgentSettings{
			Endpoint: string(ep.ID), DataCentre: string(ep.DataCentre), Listen: loopbackAddress, Admin: loopbackAddress,
			Kind: KindPlain, Slots: plainSlots, Store: "http://" + d.PlatformAddress,
		}
		var err error
		if svc.Kind == domain.ServiceModel {
			settings.Kind = KindModel
			settings.Slots = defaultSlots
			if s.Slots > 0 {
				settings.Slots = s.Slots
			}
			settings.Engine, err = d.startEngine(s, ep)
		} else {
			settings.Engine, err = d.startPlainService(s, ep)
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
		changes = append(changes, doc)
	}
	return changes, nil
}

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

// modifiedDocument returns a document of a set with a change of its body.
func modifiedDocument[B declaration.Body](set *declaration.Set, key declaration.Key, change func(B)) (*pb.Document, error) {
	doc, ok := set.Document(key)
	if !ok {
		return nil, errors.Newf("step=change peer=%s no such document", key)
	}
	body, err := declaration.DecodeDocument(doc)
	if err != nil {
		return nil, err
	}
	typed, ok := body.(B)
	if !ok {
		return nil, errors.Newf("step=change peer=%s document of another kind", key)
	}
	change(typed)
	return declaration.EncodeDocument(key, typed)
}

func (d *Deployment) startEntries(s DeploymentSettings, set *declaration.Set) error {
	for i, peer := range set.Peers() {
		if i >= s.Entries {
			return nil
		}
		settings := EntrySettings{
			Name: string(peer.Entry), DataCentre: string(peer.DataCentre),
			Listen: loopbackAddress, Admin: loopbackAddress, PeerListen: loopbackAddress, Store: "http://" + d.PlatformAddress,
		}
		if i == 0 && s.Listen != "" {
			settings.Listen = s.Listen
		}
		if i == 0 && s.Admin != "" {
			settings.Admin = s.Admin
		}
		e, err := StartEntry(settings)
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, e)
	}
	return nil
}

// configure commits the set through the first entry, with the addresses that
// are listened on, and waits until it is in force everywhere.
func (d *Deployment) configure(set *declaration.Set, changes []*pb.Document) error {
	for _, e := range d.Entries {
		doc, err := withPeerAddress(set, e.settings.Name, e.Peer)
		if err != nil {
			return err
		}
		changes = append(changes, doc)
	}
	documents := mergeDocuments(set.Documents(), changes)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	result, err := operatorBackend{d.Entries[0]}.Apply(ctx, revision.Apply{
		Who: "embedded", Change: "embedded-start", AnyBase: true, Documents: documents, At: time.Now(),
	})
	if err != nil {
		return err
	}
	if result.Status != revision.ApplyAccepted {
		return errors.Newf("step=apply peer=%s %s: %s", d.Name, result.Status, result.Message)
	}
	return d.awaitRevision(ctx, result.Revision)
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

// Close ends everything at once.
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
