package admin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admin"
	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/api/opsv1/opsv1connect"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
)

// TestStatusOfUnwatchedRoot requests the status of a node that does not watch the
// platform. It checks that the node reads the platform's root and reports why it
// can't adopt that root.
func TestStatusOfUnwatchedRoot(t *testing.T) {
	old := `{"version":1,"change-id":"old","packs":null,"entries":null,"recent":null}`
	tests := []struct {
		name    string
		root    string
		down    bool
		refused conf.VersionRefused
		want    string
	}{
		{"unreadable", "{", false, conf.VersionRefused{}, "config-refused: decode root: unexpected EOF"},
		{"older version", old, false, conf.VersionRefused{}, "config-refused: the platform's root went back from version 2 to 1"},
		{"refused by the node", "{", false, conf.VersionRefused{Err: fault.New(fault.ConfigRefused, "known")}, "config-refused: known"},
		{"platform down", "{", true, conf.VersionRefused{}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture()
			_, err := fx.Put(t.Context(), plat.Object{Name: plat.RootName, Body: []byte(test.root)})
			is.NoErr(err)
			if test.down {
				fx.Get = func(context.Context, plat.Name) (plat.Object, error) {
					return plat.Object{}, unavailable(fault.NotRun)
				}
			}
			mux := http.NewServeMux()
			mux.Handle(admin.NewHandler(admin.Service{
				Publisher: fx.publisher(),
				View:      func() admin.View { return admin.View{Self: "a", Version: 2, Refused: test.refused} },
				Now:       time.Now,
			}))
			server := httptest.NewServer(mux)
			defer server.Close()
			client := opsv1connect.NewOperatorClient(server.Client(), server.URL)
			response, err := client.Status(t.Context(), connect.NewRequest(&opsv1.StatusRequest{}))
			is.NoErr(err)
			is.Equal(response.Msg.GetRefusedRoot(), test.want)
		})
	}
}
