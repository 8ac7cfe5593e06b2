package ingress

// SetReportShares enables or disables the tenants' shares in replies.
func (h *Handler) SetReportShares(marks bool) { h.options.ReportShares = marks }
