package main

import (
	"fmt"
	"time"
)

// keyCase sends bookings that carry an Idempotency-Key, a header which the pages don't name.
func keyCase(rc *recorder, trouble bool) ([]string, error) {
	cf := newConfig(1, []string{"orders", "counter"},
		[]any{"r-order", "order.example", "/order/", "non_idempotent", 2000, 800, 2, "orders", 2, true, nil},
	)
	lb, err := newLab(rc, trouble, cf,
		place{"pettah", "counter", 100}, place{"pettah", "orders", 100}, place{"pettah", "orders", 100}, place{"pettah", "orders", 100})
	defer lb.close()
	if err != nil {
		return nil, err
	}
	denied, count := 0, 100
	for range count {
		cl := call{
			method: "POST", host: "order.example", path: "/order/20/500", deadline: 2 * time.Second,
			body: []byte("spare=12"), header: map[string]string{},
		}
		if trouble {
			// A random UUID of version 4, as most programs make them.
			id := newID() + newID()
			cl.header["Idempotency-Key"] = fmt.Sprintf("%s-%s-4%s-8%s-%s", id[:8], id[8:12], id[13:16], id[17:20], id[20:])
		}
		if at := lb.send(lb.machines[0], cl); !at.stamped && at.status/100 == 4 {
			denied++
		}
	}
	if denied > 5+count/500 {
		return []string{fmt.Sprintf("DENIED: %d of %d proper requests are ended with a 4xx of the system's own", denied, count)}, nil
	}
	return nil, nil
}
