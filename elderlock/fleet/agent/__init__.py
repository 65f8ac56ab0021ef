"""The agent of one machine: its state, its API, its view of the group, and the workers that it lends."""
