package datacentre

import "bluebellcrank/internal/state/document"

// DataCentre is one data centre.
type DataCentre struct {
	name      string
	region    string
	inService bool
}

// Defaults sets the values of a data centre that says nothing.
func (d *DataCentre) Defaults() {
	d.inService = true
}

// Read takes a data centre out of a document and records each fault.
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

// Region returns the region the data centre lies in.
func (d *DataCentre) Region() string { return d.region }

// InService reports whether the data centre may receive new work.
func (d *DataCentre) InService() bool { return d.inService }
