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
	// maxPushAttempts is the maximum number of attempts of a push that conflicts with
	// pushes of other operators.
	maxPushAttempts = 30
	// maxPushRetryDelay is the upper bound of the random delay between two attempts.
	maxPushRetryDelay = 200 * time.Millisecond
	// maxReadBacks is the maximum number of reads of the head after a write whose
	// reply was lost.
	maxReadBacks     = 10
	readBackInterval = 300 * time.Millisecond
	// rewritePeriod is how long the first push after a restore of the store waits for the
	// processes to write again what the store has lost.
	rewritePeriod = 3 * time.Second
)

var (
	// ErrOutcomeUnknown reports that a change may or may not have been accepted.
	ErrOutcomeUnknown = errors.New("the platform did not confirm whether the change was accepted")
	// ErrConcurrentPushes reports that every attempt conflicted with a push of another
	// operator.
	ErrConcurrentPushes = errors.New("other operators kept changing the configuration")
	// errPlatformStale reports that the platform returned an older revision than the
	// folder's base.
	errPlatformStale = fmt.Errorf("%w: the platform's revision is older than the one this folder was edited from (.bluebellcrank.json)", platform.ErrConflict)
)

// ConflictError reports a file that was changed both in the folder and by another
// operator.
type ConflictError struct {
	file         string
	baseRevision int64
	headRevision int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was edited in the folder since revision %d, and its last pushed change is in revision %d: move the folder's copy away, pull, then edit the file again", e.file, e.baseRevision, e.headRevision)
}

// RestoredError reports that the store was restored from a copy and no longer has the
// revision from which a folder was edited.
type RestoredError struct {
	revision int64
	changeID string
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("the platform's store was restored from a copy and has lost revision %d (change %s), from which this folder was edited: pull into another folder, copy the changes that it lacks there and push it", e.revision, e.changeID)
}

// Unwrap returns platform.ErrRestored.
func (e *RestoredError) Unwrap() error { return platform.ErrRestored }

// PushResult describes an accepted push.
type PushResult struct {
	head        config.Head
	generation  int64
	rebased     []string
	isUnchanged bool
}

// Head returns the accepted head.
func (p PushResult) Head() config.Head { return p.head }

// Rebased returns the names of the files that were updated to other operators'
// changes.
func (p PushResult) Rebased() []string { return p.rebased }

// IsUnchanged reports whether the folder contained no change that the current
// configuration lacks, so that the push wrote nothing. The current configuration may
// contain changes of other operators that the folder lacks.
func (p PushResult) IsUnchanged() bool { return p.isUnchanged }

// Push validates a folder and makes it the current configuration by a conditional
// update of the head. Files that other operators changed meanwhile are merged.
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
	if err := waitForRewrite(client); err != nil {
		return PushResult{}, err
	}
	changeID := strconv.FormatUint(rand.Uint64(), 36)
	var lastErr error
	for n := 0; n < maxPushAttempts; n++ {
		result, err := pushOnce(client, base, local, changeID)
		if err == nil {
			return result, writeBase(folder, base.Head, folderBase{Head: result.head, Generation: result.generation}, local)
		}
		if !errors.Is(err, platform.ErrConflict) {
			return result, err
		}
		lastErr = err
		time.Sleep(rand.N(maxPushRetryDelay))
	}
	if errors.Is(lastErr, errPlatformStale) || errors.Is(lastErr, platform.ErrRestored) {
		return PushResult{}, lastErr
	}
	return PushResult{}, ErrConcurrentPushes
}

// waitForRewrite waits if no push has been accepted yet in the store's generation.
func waitForRewrite(client *platform.Client) error {
	head, position, err := ReadHead(client)
	if err == nil && head.InGeneration(position.Generation).Revision > head.Revision {
		time.Sleep(rewritePeriod)
	}
	return err
}

// pushOnce makes one attempt of a push. It fails with platform.ErrConflict if another
// operator's push came first.
func pushOnce(client *platform.Client, base folderBase, local []config.File, changeID string) (PushResult, error) {
	head, position, err := ReadHead(client)
	if err != nil {
		return PushResult{}, err
	}
	if err := base.checkIn(head, position); err != nil {
		return PushResult{}, err
	}
	if head.Revision < base.Revision {
		return PushResult{}, errPlatformStale
	}
	files, rebased, err := mergeFiles(client, base.Head, head, local)
	if err != nil {
		return PushResult{}, err
	}
	next := head.InGeneration(position.Generation).Next(changeID, files)
	if sameFiles(next.Files, head.Files) {
		return PushResult{head: head, generation: position.Generation, isUnchanged: true}, nil
	}
	if _, err := config.NewBuilder().Build(next, files); err != nil {
		return PushResult{}, fmt.Errorf("with the other operators' changes:\n%w", err)
	}
	if err := upload(client, files); err != nil {
		return PushResult{}, err
	}
	if err := updateHead(client, next, position); err != nil {
		return PushResult{}, err
	}
	return PushResult{head: next, generation: position.Generation, rebased: rebased}, nil
}

// ReadHead returns the head and its position. Before the first push it returns an
// empty head and the position of the missing object.
func ReadHead(client *platform.Client) (config.Head, platform.Position, error) {
	object, err := client.Get(member.HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return config.Head{}, object.Position, nil
	}
	if err != nil {
		return config.Head{}, platform.Position{}, err
	}
	var head config.Head
	if err := json.Unmarshal(object.Value, &head); err != nil {
		return head, platform.Position{}, fmt.Errorf("head object: %w", err)
	}
	return head, object.Position, nil
}

// mergeFiles merges the files of a folder with the changes that other operators have
// pushed since the folder's base. A file that changed on one side only is used from
// that side. A file that changed differently on both sides is a ConflictError.
func mergeFiles(client *platform.Client, base, head config.Head, local []config.File) (merged []config.File, rebased []string, err error) {
	names := map[string]bool{}
	byName := map[string]config.File{}
	for _, file := range local {
		names[file.Name] = true
		byName[file.Name] = file
	}
	for _, ref := range head.Files {
		names[ref.Name] = true
	}
	for name := range names {
		localFile, inFolder := byName[name]
		headRef, inHead := head.FindFile(name)
		baseRef, inBase := base.FindFile(name)
		localDigest := ""
		if inFolder {
			localDigest = localFile.Digest()
		}
		changedInFolder := localDigest != baseRef.Digest
		changedInHead := headRef.Digest != baseRef.Digest
		switch {
		case localDigest == headRef.Digest || !changedInHead:
			if inFolder {
				merged = append(merged, localFile)
			}
		case changedInFolder && (inBase || inFolder):
			return nil, nil, &ConflictError{file: name, baseRevision: baseRef.Revision, headRevision: headRef.Revision}
		case inHead:
			object, err := client.Get(member.FileKey(headRef.Digest))
			if err != nil {
				return nil, nil, err
			}
			merged = append(merged, config.File{Name: name, Content: object.Value})
			rebased = append(rebased, name)
		}
	}
	return merged, rebased, nil
}

// sameFiles reports whether two lists contain the same names and digests in the same
// order.
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

// upload stores each file under its digest. A conflict means that the file is already
// stored, with the same content.
func upload(client *platform.Client, files []config.File) error {
	for _, f := range files {
		_, err := client.Put(member.FileKey(f.Digest()), f.Content, platform.Absent)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return nil
}

// updateHead writes the head if its position has not changed. If the platform's reply
// is lost, updateHead reads the head to determine whether the write succeeded.
func updateHead(client *platform.Client, next config.Head, position platform.Position) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = client.Put(member.HeadKey, value, position)
	if !errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	for n := 0; n < maxReadBacks; n++ {
		time.Sleep(readBackInterval)
		head, current, err := ReadHead(client)
		switch {
		case err != nil:
			continue
		case head.HasChange(next.ChangeID):
			return nil
		case current != position:
			return platform.ErrConflict
		}
		// The first write may still be in flight. Write again under the same
		// condition: only one of the two writes can succeed.
		if _, err := client.Put(member.HeadKey, value, position); err == nil {
			return nil
		}
	}
	return ErrOutcomeUnknown
}

// Describe returns a one-line summary for the operator.
func (p PushResult) Describe() string {
	if p.isUnchanged {
		return fmt.Sprintf("revision %d already has the content of this folder", p.head.Revision)
	}
	text := fmt.Sprintf("revision %d accepted", p.head.Revision)
	if len(p.rebased) > 0 {
		text += "; changes of other operators kept: " + strings.Join(p.rebased, ", ")
	}
	return text
}
