package resource

// batchDocument is a batch as operators send it.
type batchDocument struct {
	Changes []changeDocument `json:"changes"`
}

type changeDocument struct {
	Action    Action  `json:"action"`
	Resource  any     `json:"resource"`
	Key       Key     `json:"key"`
	IfVersion *uint64 `json:"ifVersion"`
}

// DecodeChanges reads the changes of a batch from JSON of the form
// {"changes": [...]}, as strictly as DecodeDocuments. The error is a
// *RejectionError that lists every fault found.
func DecodeChanges(data []byte) ([]Change, error) {
	documents, err := parseJSON(data)
	if err != nil {
		return nil, syntaxError(0, err)
	}
	if len(documents) != 1 {
		return nil, rejection([]FieldError{{Path: "$", Reason: "must be exactly one JSON object"}})
	}
	outer := &problems{}
	var batch batchDocument
	decodeStrict(outer, "", documents[0], &batch)
	if len(outer.fields) > 0 {
		return nil, rejection(outer.fields)
	}
	changes := make([]Change, 0, len(batch.Changes))
	var fields []FieldError
	for index, decoded := range batch.Changes {
		change, faults := decoded.change(index)
		changes = append(changes, change)
		fields = append(fields, faults...)
	}
	return changes, rejection(fields)
}

func (d changeDocument) change(index int) (Change, []FieldError) {
	change := Change{Action: d.Action, Key: d.Key, IfVersion: d.IfVersion}
	if d.Resource == nil {
		return change, nil
	}
	decoded, faults := decodeDocument(index, d.Resource)
	change.Resource = decoded
	return change, faults
}
