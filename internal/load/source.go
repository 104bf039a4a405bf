package load

import (
	"io/fs"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/examples"
	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// defaultClassShare is the fraction of an account's calls that are of its default
// class.
const defaultClassShare = 0.6

// source is one client account and class that calls come from, with its share of
// the calls.
type source struct {
	account domain.AccountID
	class   domain.Class
	model   domain.ModelName // empty for a plain service
	weight  float64          // rate of calls relative to other sources
}

// workload describes the calls that a deployment gets, and the engines that run them.
type workload struct {
	modelSources []source
	plainSources []source
	// engines is the number of model endpoints, which determines the capacity.
	engines int
}

// burstClasses are the classes whose calls arrive in the burst of ScenarioBurst, by
// deployment.
var burstClasses = map[string]domain.ClassName{
	examples.PortHuron: "itinerary",
	examples.Hwanyeong: "lesson",
}

// newWorkload returns the sources for the accounts and classes of an example
// deployment. Each account's share of the calls is in proportion to its limit.
func newWorkload(deployment string) (*workload, error) {
	files, err := fs.Sub(examples.FS, deployment)
	if err != nil {
		return nil, errors.Wrapf(err, "step=examples peer=%s", deployment)
	}
	set, err := declaration.Load(files, 1)
	if err != nil {
		return nil, errors.Wrapf(err, "step=declarations peer=%s", deployment)
	}
	w := &workload{}
	for _, doc := range set.Documents() {
		if doc.GetKind() != string(declaration.KindAccount) {
			continue
		}
		err := w.addAccount(set, domain.AccountID(doc.GetName()))
		if err != nil {
			return nil, err
		}
	}
	for _, endpoint := range set.AllEndpoints() {
		service, _ := set.Service(endpoint.Service)
		if service.Kind == domain.ServiceModel {
			w.engines++
		}
	}
	return w, nil
}

// addAccount adds a source for each class of an account. The default class has
// defaultClassShare of the account's limit as its weight; the other classes divide
// the rest equally.
func (w *workload) addAccount(set *declaration.Set, id domain.AccountID) error {
	account, ok := set.Account(id)
	if !ok {
		return errors.Newf("step=traffic peer=%s account does not exist", id)
	}
	names, err := classNames(set, account.Template)
	if err != nil {
		return err
	}
	for _, name := range names {
		class, ok := set.Class(id, name)
		if !ok {
			continue
		}
		weight := account.Limits.RequestsPerSecond * (1 - defaultClassShare) / float64(max(len(names)-1, 1))
		if name == account.DefaultClass {
			weight = account.Limits.RequestsPerSecond * defaultClassShare
		}
		w.addSource(set, source{account: id, class: class, weight: weight})
	}
	return nil
}

// addSource adds a source to those of model services or of plain services.
func (w *workload) addSource(set *declaration.Set, s source) {
	service, _ := set.Service(s.class.Service)
	if service.Kind == domain.ServiceModel {
		s.model = service.Models[0]
		w.modelSources = append(w.modelSources, s)
		return
	}
	w.plainSources = append(w.plainSources, s)
}

// classNames lists the classes that a service template declares.
func classNames(set *declaration.Set, template domain.TemplateName) ([]domain.ClassName, error) {
	doc, ok := set.Document(declaration.KeyOf(declaration.KindTemplate, string(template)))
	if !ok {
		return nil, errors.Newf("step=traffic peer=%s template does not exist", template)
	}
	body, err := declaration.DecodeDocument(doc)
	if err != nil {
		return nil, err
	}
	declared, ok := body.(*declaration.Template)
	if !ok {
		return nil, errors.Newf("step=traffic peer=%s document has another kind", template)
	}
	var names []domain.ClassName
	for _, class := range declared.Classes {
		names = append(names, domain.ClassName(class.Name.Text))
	}
	return names, nil
}

// sourcesOfClass returns the sources of one class.
func sourcesOfClass(sources []source, class domain.ClassName) []source {
	var matching []source
	for _, s := range sources {
		if s.class.Name == class {
			matching = append(matching, s)
		}
	}
	return matching
}
