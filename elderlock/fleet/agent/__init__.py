"""The agent of one machine: its state, its API for the group and its part in the group."""
