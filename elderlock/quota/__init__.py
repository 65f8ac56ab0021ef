"""Quotas through a shared counter, by lease, and through its loss: see `docs/design/quota.md`."""
