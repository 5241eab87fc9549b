package basilstandin_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
)

func TestWorkerRefusesAStartForAnotherBoot(t *testing.T) {
	s := newSite(basilstandin.BackendOptions{})
	before, err := s.tasks.Status(t.Context(), backendAddress, "j", 1)
	must.NoError(t, err)
	must.NotEq(t, "", before.Boot)
	s.backend.Restart(0, 0)
	err = s.tasks.Start(t.Context(), backendAddress, basilplatform.Task{Job: "j", Attempt: 1, Boot: before.Boot})
	must.True(t, basilplatform.IsErrRefused(err))
	must.Eq(t, 0, s.backend.Starts("j"))
	after, err := s.tasks.Stop(t.Context(), backendAddress, "j", 1)
	must.NoError(t, err)
	must.NotEq(t, before.Boot, after.Boot)
	err = s.tasks.Start(t.Context(), backendAddress, basilplatform.Task{Job: "j", Attempt: 2, Boot: after.Boot})
	must.NoError(t, err)
	must.Eq(t, 1, s.backend.Starts("j"))
	s.backend.Restart(0, 0) // stops the timers
}
