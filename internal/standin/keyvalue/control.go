package keyvalue

import (
	"net/http"

	"github.com/emicklei/go-restful/v3"
)

// Paths of the control of the stand-in; the platform's service has none.
const (
	// PathFaults: GET lists the faults, PUT replaces them, DELETE ends them.
	PathFaults = "/control/v1/faults"
	// PathLapse: POST ends every lease.
	PathLapse = "/control/v1/leases/lapse"
	// PathStatistics: GET returns Statistics.
	PathStatistics = "/control/v1/statistics"
)

// FaultList is the body of PUT PathFaults.
type FaultList struct {
	Faults []Fault `json:"faults"`
}

// ActiveFaultList is the answer of PathFaults.
type ActiveFaultList struct {
	Faults []ActiveFault `json:"faults"`
}

// LapseResponse is the answer of PathLapse.
type LapseResponse struct {
	Leases int `json:"leases"`
}

func (h *handler) controlRoutes() *restful.WebService {
	routes := new(restful.WebService)
	routes.Path("/control/v1").Consumes(restful.MIME_JSON, "*/*").Produces(restful.MIME_JSON)
	routes.Route(routes.GET("/faults").To(h.listFaults))
	routes.Route(routes.PUT("/faults").To(h.setFaults))
	routes.Route(routes.DELETE("/faults").To(h.clearFaults))
	routes.Route(routes.POST("/leases/lapse").To(h.lapseLeases))
	routes.Route(routes.GET("/statistics").To(h.statistics))
	return routes
}

func (h *handler) listFaults(_ *restful.Request, response *restful.Response) {
	write(response, http.StatusOK, ActiveFaultList{Faults: h.service.Faults().List()})
}

func (h *handler) setFaults(request *restful.Request, response *restful.Response) {
	var body FaultList
	if !decode(request, response, &body) {
		return
	}
	if err := h.service.Faults().Set(body.Faults...); err != nil {
		refuse(response, err)
		return
	}
	h.listFaults(request, response)
}

func (h *handler) clearFaults(request *restful.Request, response *restful.Response) {
	h.service.Faults().Clear()
	h.listFaults(request, response)
}

func (h *handler) lapseLeases(_ *restful.Request, response *restful.Response) {
	write(response, http.StatusOK, LapseResponse{Leases: h.service.LapseLeases()})
}

func (h *handler) statistics(_ *restful.Request, response *restful.Response) {
	write(response, http.StatusOK, h.service.Statistics())
}
