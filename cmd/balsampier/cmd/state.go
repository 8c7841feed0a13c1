package cmd

import (
	"encoding/json"
	"errors"
	"os"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator"
)

// stateSuffix names the file that is kept beside a rule file.
const stateSuffix = ".state"

// fileState is kept beside a rule file between commands.
type fileState struct {
	// Base is the revision that the file was edited from.
	Base balsampier.Revision `json:"base"`
	// Pending is the submission that was not answered yet; nil without one.
	Pending *operator.SubmitBody `json:"pending,omitempty"`
	// EarlierText is a text that was sent before Pending on the same base and was
	// not answered; empty without one.
	EarlierText string `json:"earlier,omitempty"`
}

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

// writeState replaces the file whole or not at all.
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
