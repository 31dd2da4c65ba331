package virtual

import (
	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
)

func storeGet(f core.GetValue) store.Call    { return store.Get{Key: f.Key} }
func storeList(f core.ListValues) store.Call { return store.List{Prefix: f.Prefix} }

func storeWatch(f core.WatchValues) store.Call {
	return store.Watch{Prefix: f.Prefix, Since: f.Since, Wait: watchWait}
}

func storeDelete(f core.DeleteValues) store.Call { return store.Delete{Keys: f.Keys} }

func storePut(c *Cluster, f core.PutValue) store.Call {
	return store.Put{
		Key: f.Key, Value: c.store.addValue(f.Value), IfRevision: f.IfRevision, Lease: string(f.Lease),
	}
}

func storeGrant(f core.GrantLease) store.Call   { return store.Grant{TimeToLive: f.TimeToLive} }
func storeRenew(f core.RenewLease) store.Call   { return store.Renew{Lease: string(f.Lease)} }
func storeRevoke(f core.RevokeLease) store.Call { return store.Revoke{Lease: string(f.Lease)} }
