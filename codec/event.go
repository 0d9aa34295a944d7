package codec

import (
	"fmt"

	"sequoiamill.example/sequoiamill/api/opsv1"
)

// FormatEvent formats a timeline event as one line of text.
func FormatEvent(event *opsv1.TimelineEvent) string {
	line := fmt.Sprintf("%s %s %s", event.GetTime().AsTime().Format("15:04:05.000000"), event.GetInstance(), event.GetKind())
	if event.GetVersion() != 0 {
		line += fmt.Sprintf(" version=%d", event.GetVersion())
	}
	if event.GetRequestId() != "" {
		line += " request=" + event.GetRequestId()
	}
	if event.GetSubject() != "" {
		line += " subject=" + event.GetSubject()
	}
	if event.GetDetail() != "" {
		line += fmt.Sprintf(" detail=%q", event.GetDetail())
	}
	return line
}
