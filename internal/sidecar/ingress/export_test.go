package ingress

// SetReportShares has replies tell of tenants' shares.
func (h *Handler) SetReportShares(marks bool) { h.options.ReportShares = marks }
