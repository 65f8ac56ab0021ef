"""Decisions about drains and releases: disruption budget, permits, consensus, plans and canary analysis. No I/O."""
