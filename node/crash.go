package node

import (
	"time"

	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/types"
)

// crashWire is the part of a node's directory record that describes an end of its
// upstream for which requests are held back.
type crashWire struct {
	Number      uint64    `json:"number"`
	EndedMillis int64     `json:"ended-millis"`
	Runs        []runWire `json:"runs"`
}

type runWire struct {
	Content       string `json:"content"`
	ElapsedMillis int64  `json:"elapsed-millis"`
}

func crashesToWire(stored []blame.StoredCrash) []crashWire {
	var wires []crashWire
	for _, crash := range stored {
		wire := crashWire{Number: crash.Number, EndedMillis: crash.EndedAt.UnixMilli()}
		for _, run := range crash.Runs {
			wire.Runs = append(wire.Runs, runWire{Content: run.Content.String(), ElapsedMillis: run.Elapsed.Milliseconds()})
		}
		wires = append(wires, wire)
	}
	return wires
}

// storedCrashes returns the crashes of a record. Runs whose content can't be read are left
// out.
func storedCrashes(wires []crashWire) []blame.StoredCrash {
	var stored []blame.StoredCrash
	for _, wire := range wires {
		crash := blame.StoredCrash{Number: wire.Number, EndedAt: time.UnixMilli(wire.EndedMillis)}
		for _, run := range wire.Runs {
			if content, ok := types.ParseContentHash(run.Content); ok {
				crash.Runs = append(crash.Runs, blame.Run{Content: content, Elapsed: time.Duration(max(0, run.ElapsedMillis)) * time.Millisecond})
			}
		}
		stored = append(stored, crash)
	}
	return stored
}
