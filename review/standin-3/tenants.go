package main

import (
	"fmt"
	"time"
)

func init() { cases["tenants"] = playTenants }

// playTenants: the operator takes the last tenant out of the configuration.
func playTenants(lb *Lab) (bool, error) {
	var err error
	if lb.store, err = startStore(); err != nil {
		return false, cantRun("%v", err)
	}
	withTenants := func(version int, rows [][]any) map[string]any {
		cfg := config(version, []route{{"r-book", host, "/book/", "non_idempotent", "orders", 2500, 800, 1}}, "orders", "counter")
		cfg["Tenants"] = map[string]any{"Columns": []string{"Name", "ApiKeys", "Priority", "RatePerS", "Burst"}, "Rows": rows}
		return cfg
	}
	key := "nr26tta828m82thhkmgj"
	lb.store.Write("config", "main", withTenants(7, [][]any{{"pulo780", []string{key}, 1, 636, 636}}))
	first, _, err := lb.addMachine("sidecar-khewra-1", "khewra", "counter", 6)
	if err != nil {
		return false, cantRun("%v", err)
	}
	if _, _, err = lb.addMachine("sidecar-khewra-2", "khewra", "orders", 6); err != nil {
		return false, cantRun("%v", err)
	}
	if err := lb.awaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	revoked := time.Time{}
	stale, forged, none, leaked := 0, 0, 0, 0
	book := func(count int) {
		for i := range count {
			uri := fmt.Sprintf("/book/%d", i)
			kinds := map[*int]string{&stale: key, &forged: "qnirth5mgjy5rcpihhac", &none: ""}
			for tally, shown := range kinds {
				var header []string
				if shown != "" {
					header = []string{"Authorization: Bearer " + shown}
				}
				at := lb.send(first, "POST", uri, 3*time.Second, []byte("x"), header...)
				runs := lb.runs.Of(at.ID)
				if len(runs) > 0 && (shown != key || !revoked.IsZero()) {
					*tally++
				}
				for _, run := range runs {
					if run.Header.Get("Authorization") != "" {
						leaked++
					}
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	book(20)
	if lb.trouble {
		lb.store.Write("config", "main", withTenants(12, [][]any{}))
		lb.rec.Line("config", "version", 12, "tenants", 0)
		time.Sleep(4 * time.Second)
		revoked = time.Now()
	}
	book(30)
	lb.rec.Line("judged", "rule", "UNASKED", "ran-with-a-withdrawn-key", stale, "ran-with-a-key-that-nobody-had", forged, "ran-without-a-key", none, "keys-passed-on", leaked)
	fmt.Printf("ran with the withdrawn key %d, with a key that no configuration held %d, without a key %d; keys passed on to the target %d\n", stale, forged, none, leaked)
	return stale+forged+none+leaked == 0, nil
}
