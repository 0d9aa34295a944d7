package verbs

// Help returns the details and an example of the command.
func (c *nodeCmd) Help() string {
	return `The upstream beside the node announces itself with a POST of JSON to
/announce on the operator address, once a second or so, and again with
"leaving" set before it stops. The node stops gracefully on SIGTERM.

Example:

    sequoiamill node --instance kol-1 --zone kolkata --platform http://127.0.0.1:8001`
}

// Help returns the details and an example of the command.
func (c *checkCmd) Help() string {
	return `All errors in the file are printed; nothing is sent to a node.

Example:

    sequoiamill check examples/board.yaml`
}

// Help returns the details and an example of the command.
func (c *applyCmd) Help() string {
	return `The change is accepted as a whole or not at all. If another change was
accepted since the base version, the exit code is that of version-conflict.
Repeating a change with the same --change-id returns the first result.

Example:

    sequoiamill apply --admin 127.0.0.1:8082 --wait examples/board.yaml`
}

// Help returns the details and an example of the command.
func (c *getCmd) Help() string {
	return `The output is a configuration file that the apply command accepts.

Example:

    sequoiamill get --admin 127.0.0.1:8082`
}

// Help returns the details and an example of the command.
func (c *statusCmd) Help() string {
	return `Any node can report the status of the whole fleet.

Example:

    sequoiamill status --admin 127.0.0.1:8082 -o json`
}

// Help returns the details and an example of the command.
func (c *timelineCmd) Help() string {
	return `The events of all reachable nodes are merged by their hybrid logical
clocks. Nodes that did not answer are named at the end.

Example:

    sequoiamill timeline --config 7 --since 10m`
}

// Help returns the details and an example of the command.
func (c *demoCmd) Help() string {
	return `The demo needs no other process, uses loopback addresses only and ends by
itself.

Example:

    sequoiamill demo`
}

// Help returns the details and an example of the command.
func (c *explainCmd) Help() string {
	return `The node that is asked answers as the entry of the request would, from what it
knows now. The request is not sent, and the question changes nothing. A team is
named, its key is not needed. If the request would be refused, the exit code is
that of the refusal, such as no-route, unauthenticated or not-ready.

Example:

    sequoiamill explain --admin 127.0.0.1:8082 --method POST --team ward-7 '/booking?day=3'`
}
