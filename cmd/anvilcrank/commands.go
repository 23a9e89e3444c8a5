package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/api"
	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// changeArgs are the options of all commands that change the configuration.
type changeArgs struct {
	clientArgs
	Expect   model.Version `arg:"--expect" help:"version that the change replaces; without it the present one"`
	ChangeID string        `arg:"--change-id" help:"identifier of the change; give that of a change with an unknown outcome to learn it"`
	Author   string        `arg:"--author,env:USER" help:"author, where no tokens are used"`
	Reason   string        `arg:"--reason" help:"reason for the history"`
	DryRun   bool          `arg:"--dry-run" help:"show the result without the change"`
	Wait     bool          `arg:"--wait" help:"return once the change is in force everywhere"`
	WaitTime time.Duration `arg:"--wait-time" default:"30s" help:"how long --wait waits"`
}

// apply proposes the operation as a change and prints the result. If --wait is
// set, it first waits until the change is in force.
func (a *changeArgs) apply(operation change.Operation) error {
	proposed := change.Change{ID: a.ChangeID, Expected: a.Expect, Reason: a.Reason, Operation: operation}
	if a.Token == "" {
		proposed.Author = a.Author
	}
	if proposed.ID == "" {
		proposed.ID = newChangeID()
	}
	if proposed.Expected == 0 {
		version, err := a.currentVersion()
		if err != nil {
			return err
		}
		proposed.Expected = version
	}
	response, err := a.propose(&proposed, a.DryRun)
	if err != nil {
		return err
	}
	report := changeReport{ChangeID: proposed.ID, ChangeResponse: response}
	if a.Wait && !a.DryRun {
		if err := a.waitInForce(response.Version, &report); err != nil {
			return err
		}
	}
	return a.print(&report, func(w io.Writer) {
		if a.DryRun {
			fmt.Fprintln(w, "the change would be accepted")
			return
		}
		fmt.Fprintf(w, "version %d\n", response.Version)
		if len(report.NotInForceAt) > 0 {
			fmt.Fprintf(w, "not in force at: %s\n", strings.Join(report.NotInForceAt, ", "))
		}
	}, report.err())
}

// currentVersion returns the latest version that the leader confirms. If no leader
// responds, it returns the version in force at an instance, which may be older than
// the operator's last change.
func (a *changeArgs) currentVersion() (model.Version, error) {
	var status api.StatusResponse
	if err := a.get("status", 0, &status); err == nil && status.Current {
		return status.Version, nil
	}
	var config model.Config
	if err := a.get("config", 0, &config); err != nil {
		return 0, err
	}
	return config.Version, nil
}

// changeReport is the JSON output of a change.
type changeReport struct {
	ChangeID string `json:"change_id"`
	*api.ChangeResponse
	// NotInForceAt lists the instances at which the version is not in force. It is
	// set only with --wait.
	NotInForceAt []string `json:"lacking,omitempty"`
	// Unconfirmed is true if the leader did not confirm the status of the
	// instances. It is set only with --wait.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

// err returns nil if the change is known to be in force at every instance,
// otherwise an error.
func (r *changeReport) err() error {
	switch {
	case len(r.NotInForceAt) > 0:
		return &commandError{exitNotInForce, "the change is committed but not in force everywhere yet"}
	case r.Unconfirmed:
		return &commandError{exitNotInForce, "the change is committed, but the leader did not confirm where it is in force"}
	}
	return nil
}

// waitInForce requests the status until the version is in force everywhere or
// WaitTime has passed. It sets NotInForceAt and Unconfirmed of the report from
// the latest status.
func (a *changeArgs) waitInForce(version model.Version, report *changeReport) error {
	deadline := time.Now().Add(a.WaitTime)
	for {
		remaining := max(0, time.Until(deadline))
		var status api.StatusResponse
		query := url.Values{"version": {fmt.Sprint(version)}, "wait_ms": {fmt.Sprint(remaining.Milliseconds())}}
		if err := a.get("status?"+query.Encode(), remaining, &status); err != nil {
			return err
		}
		report.NotInForceAt, report.Unconfirmed = nil, !status.Current
		for _, instance := range status.Instances {
			if instance.Version < version {
				report.NotInForceAt = append(report.NotInForceAt, string(instance.ID))
			}
		}
		if remaining == 0 || status.Current && len(report.NotInForceAt) == 0 {
			return nil
		}
		time.Sleep(min(retryInterval, remaining))
	}
}

// print writes the value as JSON if --json is set, otherwise as a table. It
// returns the error of writing or, if writing succeeds, failure.
func (a *clientArgs) print(v any, writeTable func(io.Writer), failure error) error {
	if a.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
			return err
		}
		return failure
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	writeTable(w)
	if err := w.Flush(); err != nil {
		return err
	}
	return failure
}

// listArgs are the options of the list subcommands.
type listArgs struct{ clientArgs }

type profileArgs struct {
	List   *listArgs       `arg:"subcommand:list" help:"list the profiles and what uses them"`
	Set    *profileSetArgs `arg:"subcommand:set" help:"set a profile from a JSON file"`
	Delete *deleteArgs     `arg:"subcommand:delete" help:"delete a profile"`
}

type profileSetArgs struct {
	changeArgs
	File string `arg:"positional,required" help:"JSON file of the profile, - for standard input"`
}

type deleteArgs struct {
	changeArgs
	Name string `arg:"positional,required" help:"name"`
}

// run executes the selected subcommand.
func (a *profileArgs) run() error {
	switch {
	case a.Set != nil:
		return a.Set.run()
	case a.Delete != nil:
		return a.Delete.apply(change.Operation{Kind: change.DeleteProfile, Name: a.Delete.Name})
	case a.List != nil:
		return a.List.printConfig(func(w io.Writer, c *model.Config) {
			fmt.Fprintln(w, "profile\tclass\trepeat\tattempts\tdeadline\tspill")
			for _, p := range c.Profiles {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%s\n", p.Name, p.Class, p.Repeat, p.MaxAttempts, p.Timeout(), p.Spill)
			}
		}, func(c *model.Config) (string, any) { return "profiles", c.Profiles })
	}
	return errUsage
}

// run reads a profile from a file and proposes it as a change.
func (a *profileSetArgs) run() error {
	input := os.Stdin
	if a.File != "-" {
		f, err := os.Open(a.File)
		if err != nil {
			return err
		}
		defer f.Close()
		input = f
	}
	var profile model.Profile
	dec := json.NewDecoder(input)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&profile); err != nil {
		return &commandError{exitInvalid, fmt.Sprintf("profile: %v", err)}
	}
	return a.apply(change.Operation{Kind: change.SetProfile, Profile: &profile})
}

type shiftArgs struct {
	List   *listArgs     `arg:"subcommand:list" help:"list the shifts"`
	Set    *shiftSetArgs `arg:"subcommand:set" help:"set a shift"`
	Delete *deleteArgs   `arg:"subcommand:delete" help:"delete a shift"`
}

type shiftSetArgs struct {
	changeArgs
	ID      string            `arg:"positional,required" help:"identifier of the shift"`
	Service model.ServiceName `arg:"--service,required"`
	From    model.Region      `arg:"--from,required" help:"region"`
	To      model.Region      `arg:"--to,required" help:"region"`
	Percent int               `arg:"--percent,required" help:"share of the requests, 0 to 100"`
	Cap     int               `arg:"--cap,required" help:"most shifted requests in flight"`
}

// run executes the selected subcommand.
func (a *shiftArgs) run() error {
	switch {
	case a.Set != nil:
		shift := model.Shift{ID: a.Set.ID, Service: a.Set.Service, From: a.Set.From, To: a.Set.To, Percent: a.Set.Percent, Cap: a.Set.Cap}
		return a.Set.apply(change.Operation{Kind: change.SetShift, Shift: &shift})
	case a.Delete != nil:
		return a.Delete.apply(change.Operation{Kind: change.DeleteShift, Name: a.Delete.Name})
	case a.List != nil:
		return a.List.printConfig(func(w io.Writer, c *model.Config) {
			fmt.Fprintln(w, "shift\tservice\tfrom\tto\tpercent\tcap")
			for _, s := range c.Shifts {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", s.ID, s.Service, s.From, s.To, s.Percent, s.Cap)
			}
		}, func(c *model.Config) (string, any) { return "shifts", c.Shifts })
	}
	return errUsage
}

type drainArgs struct {
	List   *listArgs        `arg:"subcommand:list" help:"list the drains"`
	Add    *drainChangeArgs `arg:"subcommand:add" help:"take a target out of service"`
	Remove *drainChangeArgs `arg:"subcommand:remove" help:"put a target back into service"`
}

type drainChangeArgs struct {
	changeArgs
	Kind   string `arg:"positional,required" help:"upstream, instance, zone or region"`
	Target string `arg:"positional,required" help:"name of the target"`
}

// run executes the selected subcommand.
func (a *drainArgs) run() error {
	switch {
	case a.Add != nil:
		return a.Add.apply(change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: a.Add.Kind, Target: a.Add.Target}})
	case a.Remove != nil:
		return a.Remove.apply(change.Operation{Kind: change.RemoveDrain, Drain: &model.Drain{Kind: a.Remove.Kind, Target: a.Remove.Target}})
	case a.List != nil:
		return a.List.printConfig(func(w io.Writer, c *model.Config) {
			fmt.Fprintln(w, "kind\ttarget")
			for _, d := range c.Drains {
				fmt.Fprintf(w, "%s\t%s\n", d.Kind, d.Target)
			}
		}, func(c *model.Config) (string, any) { return "drains", c.Drains })
	}
	return errUsage
}

// printConfig prints one section of the configuration in force at an instance.
// selectPart returns the section and its JSON key.
func (a *listArgs) printConfig(writeTable func(io.Writer, *model.Config), selectPart func(*model.Config) (string, any)) error {
	var config model.Config
	if err := a.get("config", 0, &config); err != nil {
		return err
	}
	name, list := selectPart(&config)
	return a.print(map[string]any{"version": config.Version, name: list}, func(w io.Writer) {
		writeTable(w, &config)
		fmt.Fprintf(w, "\nversion %d\n", config.Version)
	}, nil)
}

type statusArgs struct{ clientArgs }

// run prints the version in force at each instance. It returns an error if the
// leader did not confirm the status.
func (a *statusArgs) run() error {
	var status api.StatusResponse
	if err := a.get("status", 0, &status); err != nil {
		return err
	}
	var failure error
	if !status.Current {
		failure = &commandError{exitUnavailable, fmt.Sprintf("the answer of %s is not confirmed by the leader", status.From)}
	}
	return a.print(status, func(w io.Writer) {
		fmt.Fprintf(w, "version %d, leader %s, current %t\n\ninstance\tzone\tversion\tconnected\tin force\n", status.Version, status.Leader, status.Current)
		for _, instance := range status.Instances {
			fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%t\n", instance.ID, instance.Zone, instance.Version, instance.Connected, instance.Version >= status.Version)
		}
	}, failure)
}

type historyArgs struct {
	clientArgs
	Limit int `arg:"--limit" default:"20" help:"number of entries"`
}

// run prints the latest changes.
func (a *historyArgs) run() error {
	var history struct {
		Entries []change.Entry `json:"entries"`
	}
	if err := a.get(fmt.Sprintf("history?limit=%d", max(0, a.Limit)), 0, &history); err != nil {
		return err
	}
	return a.print(history, func(w io.Writer) {
		fmt.Fprintln(w, "version\ttime\tauthor\toperation\ttarget\treason\tchange")
		for _, e := range history.Entries {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Version, time.Unix(0, int64(e.Time)).UTC().Format(time.RFC3339),
				e.Author, e.Kind, e.Target, e.Reason, e.ID)
		}
	}, nil)
}

type memberArgs struct {
	List *listArgs `arg:"subcommand:list" help:"list the members of the control group"`
}

// run prints the members of the control group.
func (a *memberArgs) run() error {
	if a.List == nil {
		return errUsage
	}
	var group struct {
		Current bool               `json:"current"`
		Leader  model.InstanceID   `json:"leader"`
		Term    uint64             `json:"term"`
		Members []model.InstanceID `json:"members"`
	}
	if err := a.List.get("members", 0, &group); err != nil {
		return err
	}
	return a.List.print(group, func(w io.Writer) {
		fmt.Fprintln(w, "member\tleader")
		for _, id := range group.Members {
			fmt.Fprintf(w, "%s\t%t\n", id, id == group.Leader)
		}
	}, nil)
}

type rollBackArgs struct {
	changeArgs
	Version model.Version `arg:"positional,required" help:"version whose content comes back"`
}

// run proposes the content of an earlier version as a new version.
func (a *rollBackArgs) run() error {
	return a.apply(change.Operation{Kind: change.RollBack, Version: a.Version})
}
