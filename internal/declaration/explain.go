package declaration

import (
	"fmt"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Setting is the effective value of a field and the declaration that sets it.
type Setting struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Source string `json:"source"`
}

// Explain lists the effective settings of an account and one of its classes: template,
// classes and service, then the fields in the order of classFields and limitFields. An
// empty name selects the account's default class. It reports false if the account, its template or the class is unknown.
func (s *Set) Explain(id domain.AccountID, name domain.ClassName) ([]Setting, bool) {
	account, ok := s.accounts.get(id)
	if !ok {
		return nil, false
	}
	template, ok := s.templates[account.template]
	if !ok {
		return nil, false
	}
	if name == "" {
		name = account.defaultClass
	}
	class := template.class(name)
	if class == nil {
		return nil, false
	}
	resolver := settingResolver{id, template, account}
	fromAccount := "account " + string(id)
	fromTemplate := "template " + string(template.name)
	settings := []Setting{
		{"template", string(template.name), fromAccount},
		{"default-class", string(account.defaultClass), fromAccount},
		{"class", string(class.name), fromTemplate},
		{"service", string(class.service), fromTemplate},
	}
	for field, op := range class.fields {
		settings = append(settings, resolver.setting(classFields[field], op, fromTemplate))
	}
	for field, op := range template.limits {
		source := fromTemplate
		if account.limits != nil && account.limits[field].isSet {
			op = account.limits[field]
			source = fromAccount
		}
		setting := resolver.setting(limitFields[field], op, source)
		setting.Field = "limits." + setting.Field
		settings = append(settings, setting)
	}
	return settings, true
}

// settingResolver resolves operands for one account and finds their sources.
type settingResolver struct {
	id       domain.AccountID
	template *templateSpec
	account  *accountSpec
}

// setting returns the effective setting of a field. Source names the declaration
// that sets the operand.
func (r *settingResolver) setting(field fieldSpec, op operand, source string) Setting {
	if !op.isSet && field.unit == UnitFlag {
		return Setting{field.name, "false", "not set"}
	}
	if !op.isSet {
		return Setting{field.name, "none", "not set"}
	}
	value := Quantity{field.unit, resolve(op, r.template, r.account)}.String()
	if op.param == "" {
		return Setting{field.name, value, source}
	}
	if _, ok := r.account.param(op.param); ok {
		return Setting{field.name, value, fmt.Sprintf("account %s, parameter %s", r.id, op.param)}
	}
	return Setting{field.name, value, fmt.Sprintf("%s, default of parameter %s", source, op.param)}
}
