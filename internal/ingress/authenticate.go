package ingress

import (
	"github.com/pewtermill/pewtermill/api"
)

// shownDigestChars is how many characters of a key's digest appear in answers and logs: enough to find
// the key among those of a configuration, too few to help in guessing it.
const shownDigestChars = 8

// authenticate finds the tenant of the caller's key in the configuration that is active on this node.
// Public routes need no key, and configurations without tenants have none.
func (r *request) authenticate() *api.Error {
	if !r.view.Table.Configuration.RequiresKeys {
		return nil
	}
	r.tenant = r.view.Table.Tenant(r.call.KeyDigest)
	r.report.Tenant = r.tenantName()
	switch {
	case r.route.Public:
		return nil
	case !r.handler.options.KeysCurrent():
		return api.Errorf(api.NotReady, "configuration %d may be outdated, and revoked keys must not be accepted",
			r.report.ConfigurationVersion).WithRetryAfter(notReadyRetryAfter)
	case r.tenant != nil:
		return nil
	case r.call.KeyDigest == "":
		return api.Errorf(api.Unauthenticated, "route %s requires a key", r.route.Name)
	}
	return api.Errorf(api.Unauthenticated, "no tenant of configuration %d has key %s",
		r.report.ConfigurationVersion, r.call.KeyDigest[:shownDigestChars])
}

// tenantName returns the name of the request's tenant; empty if it has none.
func (r *request) tenantName() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}
