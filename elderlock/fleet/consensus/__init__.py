"""The consensus of a group of agents: votes, the ledger, and the permits in it."""
