package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"cicadawell.dev/ctl/client"
	"cicadawell.dev/ctl/difference"
	"cicadawell.dev/ctl/table"
	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// addBundle adds the commands for bundles.
func addBundle(a *app) {
	b := a.Command("bundle", "Write, sign off and roll the configuration.")
	addWrite(a, b)
	addSteps(a, b)
	a.addCommand(b, "bundle status", "Show the versions and the roll.", showBundle)
	a.addCommand(b, "bundle history", "Show who wrote, signed off and rolled each version.", showHistory)
	var version uint64
	show := a.addCommand(b, "bundle show", "Print a version's content.", func(s *session) error { return showContent(s, version) })
	show.Arg("version", "Version.").Required().Uint64Var(&version)
	var from, to string
	diff := a.addCommand(b, "bundle diff", "Compare two versions or files.", func(s *session) error { return showDiff(s, from, to) })
	diff.Arg("a", "Version or file.").Required().StringVar(&from)
	diff.Arg("b", "Version or file.").Required().StringVar(&to)
}

func addWrite(a *app, b *kingpin.CmdClause) {
	var file, note string
	write := a.addCommand(b, "bundle write", "Store a draft from a file in JSON with comments.", func(s *session) error {
		return writeBundle(s, file, note)
	})
	write.Arg("file", "File; - is the standard input. Its version is the one it was made from.").Required().StringVar(&file)
	write.Flag("note", "What the draft is for.").StringVar(&note)
}

// stepFlags are the arguments and flags of a step (sign, roll, cancel or discard)
// on a version. baseSet reports whether --base was given.
type stepFlags struct {
	version uint64
	base    uint64
	baseSet bool
	follow  bool
}

func addSteps(a *app, b *kingpin.CmdClause) {
	steps := []struct{ name, help, path, doneText string }{
		{"sign", "Sign a version off.", operatorapi.PathSign, "signed off"},
		{"roll", "Roll a version across the fleet.", operatorapi.PathRoll, "rolling"},
		{"cancel", "Cancel a roll that is not yet decided.", operatorapi.PathCancel, "cancelled"},
		{"discard", "Remove a version that was never rolled.", operatorapi.PathDiscard, "discarded"},
	}
	for _, step := range steps {
		f := &stepFlags{}
		c := a.addCommand(b, "bundle "+step.name, step.help, func(s *session) error {
			return postStep(s, step.path, step.doneText, *f)
		})
		c.Arg("version", "Version.").Required().Uint64Var(&f.version)
		c.Flag("base", "The version in force that you saw; without it, the one in force now.").
			IsSetByUser(&f.baseSet).Uint64Var(&f.base)
		if step.name == "roll" {
			c.Flag("follow", "Show progress until the version is accepted.").BoolVar(&f.follow)
		}
	}
}

// readBundle reads a bundle from a file in JSON with comments.
func readBundle(s *session, file string) (bundle.Bundle, []byte, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(s.env.In)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return bundle.Bundle{}, nil, &usageError{cause: eris.Wrap(err, "read bundle")}
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return bundle.Bundle{}, nil, &usageError{cause: eris.Wrapf(err, "%s", file)}
	}
	var b bundle.Bundle
	if err := json.Unmarshal(plain, &b); err != nil {
		return bundle.Bundle{}, nil, &usageError{cause: eris.Wrapf(err, "%s", file)}
	}
	return b, plain, nil
}

func writeBundle(s *session, file, note string) error {
	b, plain, err := readBundle(s, file)
	if err != nil {
		return err
	}
	if err := b.Validate(); err != nil {
		return &usageError{cause: err}
	}
	id, err := newID()
	if err != nil {
		return err
	}
	var v operatorapi.Version
	w := operatorapi.WriteRequest{WriteID: id, Note: note, Bundle: plain}
	if err := s.client.Post(s.ctx, operatorapi.PathDrafts, w, &v); err != nil {
		return err
	}
	return s.print(v, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "version %d written, made from version %d, digest %s\n", v.Version, v.Base, shortDigest(v.Digest))
		return err
	})
}

func postStep(s *session, path, doneText string, f stepFlags) error {
	st, err := bundleStatus(s)
	if err != nil {
		return err
	}
	v, ok := st.Find(f.version)
	if !ok {
		return fault.New(fault.NotFound, "no version %d", f.version).WithField("version")
	}
	id, err := newID()
	if err != nil {
		return err
	}
	r := operatorapi.StepRequest{StepID: id, Digest: v.Digest, ExpectedVersion: st.InForce}
	if f.baseSet {
		r.ExpectedVersion = f.base
	}
	var after operatorapi.Version
	versionPath := client.Path(path, strconv.FormatUint(f.version, 10))
	if err := s.client.Post(s.ctx, versionPath, r, &after); err != nil {
		return err
	}
	if f.follow {
		return followRoll(s, f.version)
	}
	return s.print(after, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "version %d %s\n", after.Version, doneText)
		return err
	})
}

func followRoll(s *session, version uint64) error {
	var st operatorapi.BundleStatus
	err := s.follow(func() (string, bool, error) {
		var err error
		if st, err = bundleStatus(s); err != nil {
			return "", false, err
		}
		v, ok := st.Find(version)
		if !ok || v.Phase == operatorapi.Signed {
			return "", false, fault.New(fault.Conflict, "the roll of version %d was cancelled", version)
		}
		if v.Phase == operatorapi.Accepted {
			return fmt.Sprintf("version %d accepted: in force on every instance", version), true, nil
		}
		if st.InForce > version {
			return "", false, fault.New(fault.Conflict, "version %d replaced version %d before it was accepted", st.InForce, version)
		}
		line := fmt.Sprintf("version %d %s, not yet accepted", version, v.Phase)
		if text := waitingText(st.Pending); text != "" {
			line += "; waiting for " + text
		}
		return line, false, nil
	})
	if err != nil {
		return err
	}
	return s.print(st, func(w io.Writer) error { return printBundle(w, st) })
}

func bundleStatus(s *session) (operatorapi.BundleStatus, error) {
	var st operatorapi.BundleStatus
	err := s.client.Get(s.ctx, operatorapi.PathBundle, &st)
	return st, err
}

func showBundle(s *session) error {
	st, err := bundleStatus(s)
	if err != nil {
		return err
	}
	return s.print(st, func(w io.Writer) error { return printBundle(w, st) })
}

func printBundle(w io.Writer, st operatorapi.BundleStatus) error {
	_, err := fmt.Fprintf(w, "in force: version %d%s\n", st.InForce, rollingText(st))
	if err != nil {
		return eris.Wrap(err, "print")
	}
	if st.Stale {
		_, _ = fmt.Fprintf(w, "the store does not answer; this is the last state known to %s\n", st.Instance)
	}
	for _, x := range st.Pending {
		_, _ = fmt.Fprintf(w, "waiting for %s: %s\n", x.Instance, x.Reason)
	}
	t := table.New("VERSION", "PHASE", "BASE", "WRITER", "SIGNER", "ROLLER", "DIGEST", "NOTE")
	for _, v := range st.Versions {
		t.Add(formatUint(v.Version), string(v.Phase), formatUint(v.Base), v.Writer, v.Signer, v.RolledBy, shortDigest(v.Digest), v.Note)
	}
	_, err = t.WriteTo(w)
	return err
}

func rollingText(st operatorapi.BundleStatus) string {
	if st.Rolling == 0 {
		return ""
	}
	return fmt.Sprintf(", not yet accepted: version %d", st.Rolling)
}

func showHistory(s *session) error {
	st, err := bundleStatus(s)
	if err != nil {
		return err
	}
	return s.print(st.Versions, func(w io.Writer) error {
		t := table.New("VERSION", "PHASE", "WRITTEN", "SIGNED", "ROLLED", "DECIDED", "ACCEPTED", "MEMBERS")
		for _, v := range st.Versions {
			t.Add(formatUint(v.Version), string(v.Phase), nameAndTime(v.Writer, v.WrittenAt), nameAndTime(v.Signer, v.SignedAt),
				nameAndTime(v.RolledBy, v.RolledAt), nameAndTime("", v.DecidedAt), nameAndTime("", v.AcceptedAt), strconv.Itoa(v.MemberCount))
		}
		_, err := t.WriteTo(w)
		return err
	})
}

// nameAndTime formats who did a step and when. It returns "" for a zero time.
func nameAndTime(name string, at time.Time) string {
	if at.IsZero() {
		return ""
	}
	timestamp := at.UTC().Format(time.DateTime)
	if name == "" {
		return timestamp
	}
	return name + " " + timestamp
}

func showContent(s *session, version uint64) error {
	b, err := fetchContent(s, version)
	if err != nil {
		return err
	}
	e := json.NewEncoder(s.env.Out)
	e.SetIndent("", "  ")
	if err := e.Encode(b); err != nil {
		return eris.Wrap(err, "print bundle")
	}
	return nil
}

func fetchContent(s *session, version uint64) (bundle.Bundle, error) {
	var b bundle.Bundle
	path := client.Path(operatorapi.PathVersion, strconv.FormatUint(version, 10))
	err := s.client.Get(s.ctx, path, &b)
	return b, err
}

func showDiff(s *session, from, to string) error {
	a, err := loadVersionOrFile(s, from)
	if err != nil {
		return err
	}
	b, err := loadVersionOrFile(s, to)
	if err != nil {
		return err
	}
	diffs, err := difference.Between(a, b)
	if err != nil {
		return err
	}
	return s.print(diffs, func(w io.Writer) error {
		t := table.New("PART", "ID", "CHANGE", "FIELD", "BEFORE", "AFTER")
		for _, d := range diffs {
			t.Add(d.List, d.ID, string(d.Change), d.Field, d.Before, d.After)
		}
		_, err := t.WriteTo(w)
		return err
	})
}

// loadVersionOrFile fetches a version if name is a number, and otherwise reads
// the file of that name.
func loadVersionOrFile(s *session, name string) (bundle.Bundle, error) {
	if v, err := strconv.ParseUint(name, 10, 64); err == nil {
		return fetchContent(s, v)
	}
	b, _, err := readBundle(s, name)
	return b, err
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// shortDigest returns a prefix of a digest for display.
func shortDigest(digest string) string {
	const shown = 12
	return digest[:min(shown, len(digest))]
}
