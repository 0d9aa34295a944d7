package plat

import "encoding/json"

// ObjectWire is the JSON form of an object.
type ObjectWire struct {
	EraStamped
	APIVersion string       `json:"apiVersion"`
	Kind       string       `json:"kind"`
	Metadata   MetadataWire `json:"metadata"`
	Data       []byte       `json:"data,omitempty"`
	// Code is the HTTP status code if the object describes an error, as in an
	// ERROR event of a watch.
	Code int `json:"code,omitempty"`
}

// MetadataWire is the JSON form of an object's metadata.
type MetadataWire struct {
	Name            string `json:"name"`
	Namespace       string `json:"namespace,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// ListWire is the JSON form of a list of objects.
type ListWire struct {
	EraStamped
	Metadata MetadataWire      `json:"metadata"`
	Items    []json.RawMessage `json:"items"`
}

// DecodeReply implements ReplyDecoder.
func (w *ListWire) DecodeReply(text []byte) error {
	values, err := SplitObject(text)
	if err == nil {
		w.Items, err = SplitArray(values["items"])
	}
	return err
}

// WatchWire is the JSON form of one event of a watch.
type WatchWire struct {
	Type   string     `json:"type"`
	Object ObjectWire `json:"object"`
}

// object converts w to an Object of the given kind, whose revision is of the given era.
func (w ObjectWire) object(kind Kind, era Era) Object {
	return Object{Name: Name{Kind: kind, Name: w.Metadata.Name}, Revision: era.Revision(w.Metadata.ResourceVersion), Body: w.Data}
}
