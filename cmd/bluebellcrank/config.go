package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"

	"bluebellcrank/internal/state/configcheck"
	"bluebellcrank/internal/transport/operator"
)

const usageConfigCheck = `
Check a configuration before it is pushed. A folder stands for its .yaml files. A
.json file is a configuration of the users' platform, whose store is then read for
--in-force at the host and port of --platform.

Printed are errors, entries that can never take effect, settings that contradict
each other and, with --against or --in-force, the differences from that version
that clients notice.

Exit codes: 0 no findings and no differences, 1 findings or differences, 2 no
answer, because a file or the version to compare with cannot be read.
`

// exitNoAnswer means that a file or the version to compare with cannot be read. A
// command line that cannot be parsed has the same code.
const exitNoAnswer = exitUsage

type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Check files, and compare them with another version."`
}

type configCheckCmd struct {
	clientFlags `embed:""`
	Files       []string `arg:"" name:"file" help:"Files or folders of one configuration."`
	Against     []string `placeholder:"FILE" sep:"none" xor:"against" help:"File or folder to compare with; repeat it for several files."`
	InForce     bool     `xor:"against" help:"Compare with the version in force."`
	EntryMemory int      `placeholder:"MB" help:"Memory of the smallest entry of the users' platform."`
	Format      string   `default:"text" enum:"text,json" help:"Format of the output: text or json."`
}

// Help implements kong.HelpProvider.
func (configCheckCmd) Help() string { return usageConfigCheck }

// Run implements the subcommand.
func (c *configCheckCmd) Run() error {
	report, against, err := c.check()
	if err != nil {
		return &exitError{code: exitNoAnswer, err: err}
	}
	if c.Format == "json" {
		err = printCheckJSON(os.Stdout, report, against)
	} else {
		err = printCheckText(os.Stdout, report, against)
	}
	if err != nil {
		return &exitError{code: exitNoAnswer, err: err}
	}
	if !report.IsEmpty() {
		return fmt.Errorf("%d findings, %d differences", len(report.Findings()), len(report.Differences()))
	}
	return nil
}

// check returns the report and the name of the version compared with, which is empty
// if there is none.
func (c *configCheckCmd) check() (report operator.CheckReport, against string, err error) {
	version, err := operator.ReadVersion(c.Files)
	if err != nil {
		return report, "", err
	}
	if c.EntryMemory != 0 && !version.IsOfPlatform() {
		return report, "", errors.New("--entry-memory is for a .json file; the limit of bodies of the product's own interface is a setting of its entries")
	}
	other, err := c.readOther(version.IsOfPlatform())
	if err != nil {
		return report, "", err
	}
	if other != nil {
		against = other.Name()
	}
	report, err = operator.CheckVersion(version, other, c.EntryMemory)
	return report, against, err
}

// readOther reads the version to compare with; nil if there is none.
func (c *configCheckCmd) readOther(isOfPlatform bool) (*operator.Version, error) {
	var version operator.Version
	var err error
	switch {
	case c.InForce:
		if version, err = c.readInForce(isOfPlatform); err != nil {
			err = fmt.Errorf("cannot read the version in force: %w", err)
		}
	case len(c.Against) > 0:
		version, err = operator.ReadVersion(c.Against)
	default:
		return nil, nil
	}
	return &version, err
}

func (c *configCheckCmd) readInForce(isOfPlatform bool) (operator.Version, error) {
	if !isOfPlatform {
		return operator.ReadVersionInForce(c.client())
	}
	address, err := url.Parse(c.Platform)
	if err != nil {
		return operator.Version{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	return operator.ReadPlatformVersionInForce(ctx, address.Host)
}

// printCheckText prints one line for each finding and each difference.
func printCheckText(w io.Writer, report operator.CheckReport, against string) error {
	var errs []error
	line := func(values ...any) {
		_, err := fmt.Fprintln(w, values...)
		errs = append(errs, err)
	}
	for _, f := range report.Findings() {
		line(f)
	}
	if len(report.Findings()) == 0 {
		line("no findings")
	}
	if against != "" && !hasErrors(report) {
		line("differences from "+against+":", len(report.Differences()))
	}
	for _, d := range report.Differences() {
		line(d)
	}
	return errors.Join(errs...)
}

// hasErrors reports whether the checked version has errors, so that it was not
// compared.
func hasErrors(report operator.CheckReport) bool {
	for _, f := range report.Findings() {
		if f.Class() == configcheck.Invalid {
			return true
		}
	}
	return false
}

// checkOutput is the output of a check in JSON. Differences are null if the version was
// not compared.
type checkOutput struct {
	Findings    []findingOutput    `json:"findings"`
	Against     string             `json:"against,omitempty"`
	Differences []differenceOutput `json:"differences"`
}

type findingOutput struct {
	Class   string `json:"class"`
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
}

type differenceOutput struct {
	Effect string `json:"effect"`
	Path   string `json:"path"`
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
}

// printCheckJSON prints the report as one JSON object.
func printCheckJSON(w io.Writer, report operator.CheckReport, against string) error {
	out := checkOutput{Findings: []findingOutput{}, Against: against}
	for _, f := range report.Findings() {
		at := f.Position()
		out.Findings = append(out.Findings, findingOutput{Class: string(f.Class()), File: at.File(), Line: at.Line(), Column: at.Column(), Message: f.Message()})
	}
	if against != "" && !hasErrors(report) {
		out.Differences = []differenceOutput{}
	}
	for _, d := range report.Differences() {
		out.Differences = append(out.Differences, differenceOutput{Effect: string(d.Effect()), Path: d.Path(), From: d.From(), To: d.To()})
	}
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}
