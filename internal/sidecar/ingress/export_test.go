package ingress

// SetMarks has replies tell of tenants' shares.
func (h *Handler) SetMarks(marks bool) { h.options.ReportShares = marks }
