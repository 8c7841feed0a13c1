package app

import (
	"testing"

	"github.com/balsampier/balsampier/settings/settingstest"
)

func TestSettingsAreDocumented(t *testing.T) {
	settingstest.Check(t, &Settings{}, "../../../docs/CONFIG.md", "control", "../../../examples/control.yaml")
}
