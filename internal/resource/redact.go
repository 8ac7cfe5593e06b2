package resource

// MaskedValue stands in place of a secret's value wherever operators read. It
// is refused as a value, so that what was read cannot be applied by mistake.
const MaskedValue = "(write-only)"

// Redacted returns the resource as operators may see it: a secret's value is
// masked. Other resources are returned as they are.
func (r *Resource) Redacted() *Resource {
	if r == nil || r.Secret == nil {
		return r
	}
	masked := *r
	masked.Secret = &SecretSpec{Header: r.Secret.Header, Value: MaskedValue}
	return &masked
}
