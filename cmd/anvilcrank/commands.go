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

// changeArgs are the options of every command that changes the configuration.
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

// apply proposes the operation and waits for it if asked to.
func (a *changeArgs) apply(o change.Operation) error {
	x := change.Change{ID: a.ChangeID, Expected: a.Expect, Reason: a.Reason, Operation: o}
	if a.Token == "" {
		x.Author = a.Author
	}
	if x.ID == "" {
		x.ID = newChangeID()
	}
	if x.Expected == 0 {
		present, err := a.presentVersion()
		if err != nil {
			return err
		}
		x.Expected = present
	}
	answer, err := a.propose(&x, a.DryRun)
	if err != nil {
		return err
	}
	report := changeReport{ChangeID: x.ID, ChangeAnswer: answer}
	if a.Wait && !a.DryRun {
		if err := a.waitFor(answer.Version, &report); err != nil {
			return err
		}
	}
	return a.print(&report, func(w io.Writer) {
		if a.DryRun {
			fmt.Fprintln(w, "the change would be accepted")
			return
		}
		fmt.Fprintf(w, "version %d\n", answer.Version)
		if len(report.Lacking) > 0 {
			fmt.Fprintf(w, "not in force at: %s\n", strings.Join(report.Lacking, ", "))
		}
	}, report.failure())
}

// presentVersion returns the latest version that the leader confirms, or the one
// in force at an instance if no leader answers. The version in force may be
// older than the operator's own last change.
func (a *changeArgs) presentVersion() (model.Version, error) {
	var s api.StatusAnswer
	if err := a.get("status", 0, &s); err == nil && s.Current {
		return s.Version, nil
	}
	var c model.Config
	if err := a.get("config", 0, &c); err != nil {
		return 0, err
	}
	return c.Version, nil
}

// changeReport is the JSON output of a change.
type changeReport struct {
	ChangeID string `json:"change_id"`
	*api.ChangeAnswer
	// Lacking names the instances without the version, after --wait.
	Lacking []string `json:"lacking,omitempty"`
	// Unconfirmed is true if the leader did not confirm the state, after --wait.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

func (r *changeReport) failure() error {
	switch {
	case len(r.Lacking) > 0:
		return &commandError{exitLacking, "the change is committed but not in force everywhere yet"}
	case r.Unconfirmed:
		return &commandError{exitLacking, "the change is committed; no current answer says where it is in force"}
	}
	return nil
}

// waitFor asks until the version is in force everywhere.
func (a *changeArgs) waitFor(v model.Version, report *changeReport) error {
	until := time.Now().Add(a.WaitTime)
	for {
		left := max(0, time.Until(until))
		var s api.StatusAnswer
		query := url.Values{"version": {fmt.Sprint(v)}, "wait_ms": {fmt.Sprint(left.Milliseconds())}}
		if err := a.get("status?"+query.Encode(), left, &s); err != nil {
			return err
		}
		report.Lacking, report.Unconfirmed = nil, !s.Current
		for _, i := range s.Instances {
			if i.Version < v {
				report.Lacking = append(report.Lacking, string(i.ID))
			}
		}
		if left == 0 || s.Current && len(report.Lacking) == 0 {
			return nil
		}
		time.Sleep(min(retryPause, left))
	}
}

// print writes the value as JSON or for people, and returns the failure.
func (a *clientArgs) print(v any, table func(io.Writer), failure error) error {
	if a.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
			return err
		}
		return failure
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	table(w)
	if err := w.Flush(); err != nil {
		return err
	}
	return failure
}

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

func (a *profileArgs) run() error {
	switch {
	case a.Set != nil:
		return a.Set.run()
	case a.Delete != nil:
		return a.Delete.apply(change.Operation{Kind: change.DeleteProfile, Name: a.Delete.Name})
	case a.List != nil:
		return a.List.config(func(w io.Writer, c *model.Config) {
			fmt.Fprintln(w, "profile\tclass\trepeat\tattempts\tdeadline\tspill")
			for _, p := range c.Profiles {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%s\n", p.Name, p.Class, p.Repeat, p.MaxAttempts, p.Deadline(), p.Spill)
			}
		}, func(c *model.Config) (string, any) { return "profiles", c.Profiles })
	}
	return errUsage
}

func (a *profileSetArgs) run() error {
	in := os.Stdin
	if a.File != "-" {
		f, err := os.Open(a.File)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	var p model.Profile
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return &commandError{exitInvalid, fmt.Sprintf("profile: %v", err)}
	}
	return a.apply(change.Operation{Kind: change.SetProfile, Profile: &p})
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

func (a *shiftArgs) run() error {
	switch {
	case a.Set != nil:
		s := model.Shift{ID: a.Set.ID, Service: a.Set.Service, From: a.Set.From, To: a.Set.To, Percent: a.Set.Percent, Cap: a.Set.Cap}
		return a.Set.apply(change.Operation{Kind: change.SetShift, Shift: &s})
	case a.Delete != nil:
		return a.Delete.apply(change.Operation{Kind: change.DeleteShift, Name: a.Delete.Name})
	case a.List != nil:
		return a.List.config(func(w io.Writer, c *model.Config) {
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

func (a *drainArgs) run() error {
	switch {
	case a.Add != nil:
		return a.Add.apply(change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: a.Add.Kind, Target: a.Add.Target}})
	case a.Remove != nil:
		return a.Remove.apply(change.Operation{Kind: change.RemoveDrain, Drain: &model.Drain{Kind: a.Remove.Kind, Target: a.Remove.Target}})
	case a.List != nil:
		return a.List.config(func(w io.Writer, c *model.Config) {
			fmt.Fprintln(w, "kind\ttarget")
			for _, d := range c.Drains {
				fmt.Fprintf(w, "%s\t%s\n", d.Kind, d.Target)
			}
		}, func(c *model.Config) (string, any) { return "drains", c.Drains })
	}
	return errUsage
}

// config prints a part of the configuration in force.
func (a *listArgs) config(table func(io.Writer, *model.Config), part func(*model.Config) (string, any)) error {
	var c model.Config
	if err := a.get("config", 0, &c); err != nil {
		return err
	}
	name, list := part(&c)
	return a.print(map[string]any{"version": c.Version, name: list}, func(w io.Writer) {
		table(w, &c)
		fmt.Fprintf(w, "\nversion %d\n", c.Version)
	}, nil)
}

type statusArgs struct{ clientArgs }

func (a *statusArgs) run() error {
	var s api.StatusAnswer
	if err := a.get("status", 0, &s); err != nil {
		return err
	}
	var failure error
	if !s.Current {
		failure = &commandError{exitUnavailable, fmt.Sprintf("the answer of %s is not confirmed by the leader", s.From)}
	}
	return a.print(s, func(w io.Writer) {
		fmt.Fprintf(w, "version %d, leader %s, current %t\n\ninstance\tzone\tversion\tconnected\tin force\n", s.Version, s.Leader, s.Current)
		for _, i := range s.Instances {
			fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%t\n", i.ID, i.Zone, i.Version, i.Connected, i.Version >= s.Version)
		}
	}, failure)
}

type historyArgs struct {
	clientArgs
	Limit int `arg:"--limit" default:"20" help:"number of entries"`
}

func (a *historyArgs) run() error {
	var h struct {
		Entries []change.Entry `json:"entries"`
	}
	if err := a.get(fmt.Sprintf("history?limit=%d", max(0, a.Limit)), 0, &h); err != nil {
		return err
	}
	return a.print(h, func(w io.Writer) {
		fmt.Fprintln(w, "version\ttime\tauthor\toperation\ttarget\treason\tchange")
		for _, e := range h.Entries {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Version, time.Unix(0, int64(e.Time)).UTC().Format(time.RFC3339),
				e.Author, e.Kind, e.Target, e.Reason, e.ID)
		}
	}, nil)
}

type memberArgs struct {
	List *listArgs `arg:"subcommand:list" help:"list the members of the control group"`
}

func (a *memberArgs) run() error {
	if a.List == nil {
		return errUsage
	}
	var m struct {
		Current bool               `json:"current"`
		Leader  model.InstanceID   `json:"leader"`
		Term    uint64             `json:"term"`
		Members []model.InstanceID `json:"members"`
	}
	if err := a.List.get("members", 0, &m); err != nil {
		return err
	}
	return a.List.print(m, func(w io.Writer) {
		fmt.Fprintln(w, "member\tleader")
		for _, id := range m.Members {
			fmt.Fprintf(w, "%s\t%t\n", id, id == m.Leader)
		}
	}, nil)
}

type rollBackArgs struct {
	changeArgs
	Version model.Version `arg:"positional,required" help:"version whose content comes back"`
}

func (a *rollBackArgs) run() error {
	return a.apply(change.Operation{Kind: change.RollBack, Version: a.Version})
}
