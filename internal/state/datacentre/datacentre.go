package datacentre

import "bluebellcrank/internal/state/document"

// DataCentre is one data centre of the configuration.
type DataCentre struct {
	name      string
	region    string
	inService bool
}

// Defaults marks the data centre as in service, which applies unless configured.
func (d *DataCentre) Defaults() {
	d.inService = true
}

// Read reads a data centre from a document and records its faults in the reader.
func Read(name string, r *document.Reader) *DataCentre {
	d := &DataCentre{name: name}
	d.Defaults()
	r.Text("region", &d.region)
	r.Bool("in-service", &d.inService)
	r.CheckUnknownKeys()
	return d
}

// Name returns the data centre's name.
func (d *DataCentre) Name() string { return d.name }

// Region returns the region of the data centre; empty if not configured.
func (d *DataCentre) Region() string { return d.region }

// InService reports whether the data centre may receive new requests.
func (d *DataCentre) InService() bool { return d.inService }
