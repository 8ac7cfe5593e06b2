package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/examples"
	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/command"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// applyTimeout bounds one change.
const applyTimeout = 10 * time.Second

// Put returns changes that create or replace resources.
func Put(resources ...*resource.Resource) []resource.Change {
	changes := make([]resource.Change, 0, len(resources))
	for _, declared := range resources {
		changes = append(changes, resource.Change{Action: resource.ActionPut, Resource: declared})
	}
	return changes
}

// Apply sends changes as one batch to a control daemon, as an operator does.
// The same operation id has one outcome.
func (m *Mesh) Apply(ctx context.Context, control *ControlNode, operationID string, changes []resource.Change) (v1.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	outcome := v1.Outcome{}
	body, err := json.Marshal(v1.Batch{Changes: changes})
	if err != nil {
		return outcome, trace.Wrap(err, "encode batch")
	}
	url := m.trust.scheme() + control.APIAddress() + v1.PathBatch
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return outcome, trace.Wrap(err, "apply at %s", control.Name())
	}
	request.Header.Set("Content-Type", "application/json")
	if operationID != "" {
		request.Header.Set(v1.OperationIDHeader, operationID)
	}
	response, err := m.operators.Do(request)
	if err != nil {
		return outcome, trace.Wrap(err, "apply at %s", control.Name())
	}
	defer func() { _ = response.Body.Close() }()
	return outcome, trace.Wrap(json.NewDecoder(response.Body).Decode(&outcome), "reply of %s", control.Name())
}

// initialOperation is the operation id of the first change.
const initialOperation = "launch"

// applyInitial applies the resources of the launch.
func (m *Mesh) applyInitial(ctx context.Context) (uint64, error) {
	resources, err := m.initialResources()
	if err != nil {
		return 0, err
	}
	return m.ApplyUntilAccepted(ctx, m.Control[0], initialOperation, Put(resources...))
}

// ApplyUntilAccepted applies changes and asks again under the same operation
// id until they are accepted. A fault in the changes themselves ends it.
func (m *Mesh) ApplyUntilAccepted(ctx context.Context, control *ControlNode, operationID string, changes []resource.Change) (uint64, error) {
	for {
		outcome, err := m.Apply(ctx, control, operationID, changes)
		switch {
		case err == nil && outcome.Result == command.Accepted:
			return outcome.Version, nil
		case err == nil && len(outcome.Fields) > 0:
			return 0, trace.BadParameter("change %s was rejected: %v", operationID, outcome.Fields)
		}
		select {
		case <-time.After(readyInterval):
		case <-ctx.Done():
			return 0, trace.LimitExceeded("change %s was not accepted: %s %s (%v)", operationID, outcome.Result, outcome.Reason, err)
		}
	}
}

// Secrets returns the secrets of the launch.
func (m *Mesh) Secrets() []*resource.Resource {
	resources, err := m.initialResources()
	if err != nil {
		return nil
	}
	return slices.DeleteFunc(resources, func(declared *resource.Resource) bool { return declared.Kind != resource.KindSecret })
}

func (m *Mesh) initialResources() ([]*resource.Resource, error) {
	if m.options.Resources != nil {
		return m.options.Resources, nil
	}
	return examples.Resources(m.options.Deployment.Name)
}

// ApplyAccepted applies changes that are expected to be accepted.
func (m *Mesh) ApplyAccepted(ctx context.Context, control *ControlNode, changes []resource.Change) (v1.Outcome, error) {
	outcome, err := m.Apply(ctx, control, "", changes)
	if err != nil {
		return outcome, err
	}
	if outcome.Result != command.Accepted {
		return outcome, trace.BadParameter("change at %s was not accepted: %s %s %v", control.Name(), outcome.Result, outcome.Reason, outcome.Fields)
	}
	return outcome, nil
}
