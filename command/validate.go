package command

import (
	"fmt"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/settings"
)

const validateLong = `Reads settings files and reports errors in them. Nothing is started and
nothing is sent. The exit code is 0 if every file is valid and 2 otherwise.

Examples:
  figring validate --kind entry examples/settings/entry.jsonc
  figring validate --kind sidecar examples/settings/sidecar.jsonc
  figring validate --kind dispatcher examples/settings/dispatcher.jsonc
  figring validate --kind executor examples/settings/executor.jsonc
  figring validate --kind bundle --zone schwabing --zone garching examples/settings/bundle.jsonc`

type validateCommand struct {
	streams *IO

	Kind  string   `long:"kind" required:"true" choice:"entry" choice:"sidecar" choice:"dispatcher" choice:"executor" choice:"bundle" description:"kind of the settings files"`
	Zones []string `long:"zone" value-name:"ZONE" description:"an availability zone that a bundle may name; may be repeated"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	for _, file := range c.Args.Files {
		if err := c.check(file); err != nil {
			return usageError(err)
		}
		fmt.Fprintf(c.streams.Out, "%s: valid %s settings\n", file, c.Kind)
	}
	return nil
}

// check loads one file as settings of the chosen kind.
func (c *validateCommand) check(file string) error {
	var err error
	switch c.Kind {
	case "entry":
		_, err = settings.LoadEntry(file)
	case "dispatcher":
		_, err = settings.LoadDispatcher(file)
	case "executor":
		_, err = settings.LoadExecutor(file)
	case "sidecar":
		_, err = settings.LoadSidecar(file)
	case "bundle":
		_, err = settings.LoadBundle(file, bundle.Rules{Zones: c.Zones})
	}
	return err
}
