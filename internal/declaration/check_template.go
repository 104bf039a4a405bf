package declaration

import (
	"fmt"
	"strings"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// checkTemplate checks a template's parameters, classes and limits.
func (c *checker) checkTemplate(body *Template) {
	_, name := c.current.key.Split()
	compiled := compileTemplate(name, body)
	seen := make(map[string]bool)
	for i := range body.Parameters {
		param := &body.Parameters[i]
		field := fmt.Sprintf("parameters[%d]", i)
		c.checkUniqueName(seen, param.Name, field+".name")
		c.checkParameter(param, &compiled.params[i], field)
	}
	if len(body.Classes) == 0 {
		c.addError(Scalar{Line: body.Line}, "classes", "want at least one request class")
	}
	clear(seen)
	for i := range body.Classes {
		class := &body.Classes[i]
		prefix := fmt.Sprintf("classes[%d].", i)
		c.checkUniqueName(seen, class.Name, prefix+"name")
		c.checkServiceRef(class.Service, prefix+"service")
		for index, scalar := range classScalars(class) {
			if scalar.Line == 0 {
				scalar.Line = class.Line
			}
			c.checkOperand(compiled, scalar, prefix, &classFields[index])
		}
		c.checkRetry(class, prefix)
	}
	for index, scalar := range limitScalars(&body.Limits) {
		c.checkOperand(compiled, scalar, "limits.", &limitFields[index])
	}
}

// checkUniqueName checks that a name is valid and not yet in seen, and adds it.
func (c *checker) checkUniqueName(seen map[string]bool, s Scalar, field string) {
	c.pattern(s, field, namePattern, expectedName)
	if seen[s.Text] {
		c.addError(s, field, "want a name used once in the template")
	}
	seen[s.Text] = true
}

// checkRetry checks that a class with non-idempotent requests allows neither retries
// nor preemption, as both run a request again.
func (c *checker) checkRetry(class *Class, prefix string) {
	if class.Idempotent.Text == "false" && !class.Retry.Attempts.IsZero() && class.Retry.Attempts.Text != "1" {
		c.addError(class.Retry.Attempts, prefix+"retry.attempts", "want 1 or nothing where idempotent is false")
	}
	if class.Idempotent.Text == "false" && class.Preemptible.Text == "true" {
		c.addError(class.Preemptible, prefix+"preemptible", "want false where idempotent is false")
	}
}

// checkParameter checks a template parameter p, whose compiled form is spec.
func (c *checker) checkParameter(p *Parameter, spec *paramSpec, field string) {
	if spec.unit == UnitNone {
		c.addError(p.Type, field+".type", "want one of "+strings.Join(unitNames[1:], ", "))
		return
	}
	c.checkParamValue(p.Min, spec, field+".min", bounds{0, noUpperBound})
	c.checkParamValue(p.Max, spec, field+".max", bounds{0, noUpperBound})
	if spec.bounds.min > spec.bounds.max {
		c.addError(p.Max, field+".max", "want no less than min")
		return
	}
	c.checkParamValue(p.Default, spec, field+".default", spec.bounds)
}

// checkParamValue checks the unit and range of a parameter's value, default, minimum or
// maximum. An absent value is valid.
func (c *checker) checkParamValue(s Scalar, spec *paramSpec, field string, b bounds) {
	if s.IsZero() {
		return
	}
	q, ok := parseQuantity(s.Text)
	if !ok || q.Unit != spec.unit || !b.contains(q.Number) {
		c.addError(s, field, describeParamBounds(spec.unit, b))
	}
}

// describeParamBounds is describeBounds for a parameter, which may have no maximum.
func describeParamBounds(unit Unit, b bounds) string {
	if b.max < noUpperBound || unit == UnitFlag {
		return describeBounds(unit, b)
	}
	if b.min > 0 {
		return fmt.Sprintf("want %s of at least %s", unitExamples[unit], Quantity{unit, b.min})
	}
	return "want " + unitExamples[unit]
}

// checkOperand checks a field that holds a number or refers to a template parameter.
func (c *checker) checkOperand(t *templateSpec, s Scalar, prefix string, f *fieldSpec) {
	if s.IsZero() {
		if f.required {
			c.addError(s, prefix+f.name, describeBounds(f.unit, f.bounds))
		}
		return
	}
	name, isParam := strings.CutPrefix(s.Text, "$")
	if !isParam {
		q, ok := parseQuantity(s.Text)
		if !ok || q.Unit != f.unit || !f.bounds.contains(q.Number) {
			c.addError(s, prefix+f.name, describeBounds(f.unit, f.bounds))
		}
		return
	}
	p := t.param(name)
	if p == nil || p.unit != f.unit {
		c.addError(s, prefix+f.name, "want a declared parameter of type "+f.unit.String())
		return
	}
	if p.hasDefault && !f.bounds.contains(p.defaultValue) {
		c.addError(s, prefix+f.name, "the parameter's default is not allowed here, "+describeBounds(f.unit, f.bounds))
	}
}

// checkAccount checks an account's key hashes, limits, template and parameters.
func (c *checker) checkAccount(body *Account) {
	if len(body.KeyHashes) == 0 {
		c.addError(Scalar{}, "key-hashes", "want at least one key hash")
	}
	for i, scalar := range body.KeyHashes {
		c.hash(scalar, fmt.Sprintf("key-hashes[%d]", i))
	}
	for f, scalar := range limitScalars(&body.Limits) {
		q, ok := parseQuantity(scalar.Text)
		if !scalar.IsZero() && (!ok || q.Unit != limitFields[f].unit || !limitFields[f].bounds.contains(q.Number)) {
			c.addError(scalar, "limits."+limitFields[f].name, describeBounds(limitFields[f].unit, limitFields[f].bounds))
		}
	}
	t, ok := c.set.templates[domain.TemplateName(body.Template.Text)]
	if !ok {
		c.addError(body.Template, "template", "want a declared template")
		return
	}
	if t.class(domain.ClassName(body.DefaultClass.Text)) == nil {
		c.addError(body.DefaultClass, "default-class", "want a class of template "+string(t.name))
	}
	c.checkAccountParams(body, t)
}

// checkAccountParams checks an account's parameters against its template, then the
// template fields that they resolve to.
func (c *checker) checkAccountParams(body *Account, t *templateSpec) {
	valid := true
	for _, name := range sortedKeys(body.Parameters) {
		p := t.param(name)
		before := len(c.errs)
		if p == nil {
			c.addError(body.Parameters[name], "parameters."+name, "unknown parameter of template "+string(t.name))
		} else {
			c.checkParamValue(body.Parameters[name], p, "parameters."+name, p.bounds)
		}
		valid = valid && len(c.errs) == before
	}
	for i := range t.params {
		p := &t.params[i]
		if _, ok := body.Parameters[p.name]; !ok && !p.hasDefault {
			c.addError(Scalar{}, "parameters."+p.name, describeParamBounds(p.unit, p.bounds))
			valid = false
		}
	}
	if valid {
		c.checkResolvedFields(body, t)
	}
}

// checkResolvedFields checks the range of each template field that takes its value from
// one of the account's parameters.
func (c *checker) checkResolvedFields(body *Account, t *templateSpec) {
	spec := compileAccount(body)
	checkBounds := func(o operand, path string, f *fieldSpec) {
		if o.param == "" || f.bounds.contains(resolve(o, t, spec)) {
			return
		}
		expected := fmt.Sprintf("as %s of template %s, %s", path+f.name, t.name, describeBounds(f.unit, f.bounds))
		c.addError(body.Parameters[o.param], "parameters."+o.param, expected)
	}
	for i := range t.classes {
		class := &t.classes[i]
		for f, o := range class.fields {
			checkBounds(o, "class "+string(class.name)+" ", &classFields[f])
		}
	}
	for f, o := range t.limits {
		checkBounds(o, "limits.", &limitFields[f])
	}
}
