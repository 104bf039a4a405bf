package callerapi

import (
	"net/http"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      domain.ModelName `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	OwnedBy string           `json:"owned_by"`
}

// serveModels writes the list of the models of all services.
func serveModels(x *exchange) *apiError {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range x.config.Models() {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "dunlinpulley"})
	}
	x.writeJSON(http.StatusOK, domain.OutcomeComplete, list)
	return nil
}
