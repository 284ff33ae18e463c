package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/transport/member"
)

const (
	// pushTries is how often a push starts again after another operator's.
	pushTries = 30
	racePause = 200 * time.Millisecond
	// readBackTries is how often a lost answer is asked after.
	readBackTries = 10
	readBackPause = 300 * time.Millisecond
)

var (
	// ErrOutcomeUnknown says that a change may or may not have been accepted.
	ErrOutcomeUnknown = errors.New("the platform does not say whether the change was accepted")
	// ErrConcurrentPushes says that other operators were always faster.
	ErrConcurrentPushes = errors.New("other operators kept changing the configuration")
	// errOlder is a platform that answers with less than the folder has seen.
	errOlder = fmt.Errorf("%w: the platform's revision is older than the one this folder was edited from (.bluebellcrank.json)", platform.ErrConflict)
)

// ConflictError names a file that two operators changed.
type ConflictError struct {
	file   string
	base   int64
	theirs int64
}

// Error implements error.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed here since revision %d and by revision %d there: pull, and edit again", c.file, c.base, c.theirs)
}

// PushResult is an accepted change.
type PushResult struct {
	head    config.Head
	rebased []string
	same    bool
}

// Head returns the accepted head.
func (p PushResult) Head() config.Head { return p.head }

// Rebased returns the files that were taken from other operators' changes.
func (p PushResult) Rebased() []string { return p.rebased }

// IsUnchanged reports whether the folder held nothing new.
func (p PushResult) IsUnchanged() bool { return p.same }

// Check builds a folder's configuration; the error lists every fault.
func Check(folder string) (*config.Config, error) {
	files, err := config.ReadFolder(folder)
	if err != nil {
		return nil, err
	}
	return config.NewBuilder().Build(config.Head{}, files)
}

// Push makes a folder the configuration by one conditional update.
func Push(client *platform.Client, folder string) (PushResult, error) {
	local, err := config.ReadFolder(folder)
	if err != nil {
		return PushResult{}, err
	}
	if _, err := config.NewBuilder().Build(config.Head{}, local); err != nil {
		return PushResult{}, err
	}
	base, err := readBase(folder)
	if err != nil {
		return PushResult{}, err
	}
	changeID := strconv.FormatUint(rand.Uint64(), 36)
	var last error
	for n := 0; n < pushTries; n++ {
		p, err := pushOnce(client, base, local, changeID)
		if err == nil {
			return p, writeBase(folder, base, p.head, local)
		}
		if !errors.Is(err, platform.ErrConflict) {
			return p, err
		}
		last = err
		time.Sleep(rand.N(racePause))
	}
	if errors.Is(last, errOlder) {
		return PushResult{}, errOlder
	}
	return PushResult{}, ErrConcurrentPushes
}

func pushOnce(client *platform.Client, base config.Head, local []config.File, changeID string) (PushResult, error) {
	head, version, err := ReadHead(client)
	if err != nil {
		return PushResult{}, err
	}
	if head.Revision < base.Revision {
		return PushResult{}, errOlder
	}
	files, rebased, err := rebase(client, base, head, local)
	if err != nil {
		return PushResult{}, err
	}
	next := head.Next(changeID, files)
	if sameFiles(next.Files, head.Files) {
		return PushResult{head: head, same: true}, nil
	}
	if _, err := config.NewBuilder().Build(next, files); err != nil {
		return PushResult{}, fmt.Errorf("with the other operators' changes:\n%w", err)
	}
	if err := upload(client, files); err != nil {
		return PushResult{}, err
	}
	if err := accept(client, next, version); err != nil {
		return PushResult{}, err
	}
	return PushResult{head: next, rebased: rebased}, nil
}

// ReadHead returns the head and its version; both are zero before the first
// push.
func ReadHead(client *platform.Client) (config.Head, platform.Version, error) {
	o, err := client.Get(member.HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return config.Head{}, platform.Absent, nil
	}
	if err != nil {
		return config.Head{}, 0, err
	}
	var h config.Head
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return h, 0, fmt.Errorf("head object: %w", err)
	}
	return h, o.Version, nil
}

// rebase merges a folder, file by file, with what others have pushed since
// its base: a file changed on one side is taken from there, one changed on
// both sides is a conflict.
func rebase(client *platform.Client, base, head config.Head, local []config.File) (out []config.File, rebased []string, err error) {
	names := map[string]bool{}
	byName := map[string]config.File{}
	for _, f := range local {
		names[f.Name] = true
		byName[f.Name] = f
	}
	for _, r := range head.Files {
		names[r.Name] = true
	}
	for name := range names {
		mine, have := byName[name]
		theirs, pushed := head.FindFile(name)
		was, known := base.FindFile(name)
		myDigest := ""
		if have {
			myDigest = mine.Digest()
		}
		changedHere := myDigest != was.Digest
		changedThere := theirs.Digest != was.Digest
		switch {
		case myDigest == theirs.Digest || !changedThere:
			if have {
				out = append(out, mine)
			}
		case changedHere && (known || have):
			return nil, nil, &ConflictError{file: name, base: was.Revision, theirs: theirs.Revision}
		case pushed:
			o, err := client.Get(member.FileKey(theirs.Digest))
			if err != nil {
				return nil, nil, err
			}
			out = append(out, config.File{Name: name, Content: o.Value})
			rebased = append(rebased, name)
		}
	}
	return out, rebased, nil
}

func sameFiles(a, b []config.FileRef) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || a[i].Digest != b[i].Digest {
			return false
		}
	}
	return true
}

// upload stores each file under its digest; one that is there already is the
// same.
func upload(client *platform.Client, files []config.File) error {
	for _, f := range files {
		_, err := client.Put(member.FileKey(f.Digest()), f.Content, platform.Absent)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return nil
}

// accept writes the head; an answer that was lost is asked after.
func accept(client *platform.Client, next config.Head, version platform.Version) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = client.Put(member.HeadKey, value, version)
	if !errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	for n := 0; n < readBackTries; n++ {
		time.Sleep(readBackPause)
		head, now, err := ReadHead(client)
		switch {
		case err != nil:
			continue
		case head.HasChange(next.ChangeID):
			return nil
		case now != version:
			return platform.ErrConflict
		}
		// Not there yet: the write may still be on its way, so write it
		// again under the same condition; only one of the two can succeed.
		if _, err := client.Put(member.HeadKey, value, version); err == nil {
			return nil
		}
	}
	return ErrOutcomeUnknown
}

// Describe returns one line about an accepted change.
func (p PushResult) Describe() string {
	if p.same {
		return fmt.Sprintf("revision %d already holds this folder", p.head.Revision)
	}
	text := fmt.Sprintf("revision %d accepted", p.head.Revision)
	if len(p.rebased) > 0 {
		text += "; taken from other operators: " + strings.Join(p.rebased, ", ")
	}
	return text
}
