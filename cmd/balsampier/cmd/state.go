package cmd

import (
	"encoding/json"
	"errors"
	"os"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator"
)

// stateSuffix is appended to the path of a rule file to name its state file.
const stateSuffix = ".state"

// fileState is the content of a state file. It preserves what the commands know
// about a rule file between their runs.
type fileState struct {
	// Base is the revision that the file was edited from.
	Base balsampier.Revision `json:"base"`
	// Pending is the submission whose outcome is unknown; nil if there is none.
	Pending *operator.SubmitBody `json:"pending,omitempty"`
	// EarlierText is the text of a submission before Pending, on the same base,
	// whose outcome is unknown too; empty if there is none.
	EarlierText string `json:"earlier,omitempty"`
}

// readState reads the state file of the rule file at path; a missing one is
// empty.
func readState(path string) (fileState, error) {
	var s fileState
	b, err := os.ReadFile(path + stateSuffix)
	if errors.Is(err, os.ErrNotExist) {
		return s, nil
	}
	if err == nil {
		err = json.Unmarshal(b, &s)
	}
	if err != nil {
		return s, balsampier.NewError(balsampier.KindInvalid, "read "+path+stateSuffix,
			"fetch the rules to another file with balsampier rules --output", err)
	}
	return s, nil
}

// writeState replaces the state file of the rule file at path atomically.
func writeState(path string, s fileState) error {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	t := path + stateSuffix + ".new"
	if err = os.WriteFile(t, b, filePerm); err == nil {
		err = os.Rename(t, path+stateSuffix)
	}
	if err != nil {
		return balsampier.NewError(balsampier.KindInvalid, "write "+path+stateSuffix,
			"make the folder of the rule file writable: the submission is kept there", err)
	}
	return nil
}
