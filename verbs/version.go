package verbs

import "runtime/debug"

type versionCmd struct{}

// Run prints the version of the program.
func (c *versionCmd) Run(out output) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	out.printf("sequoiamill %s\n", version)
	return nil
}
