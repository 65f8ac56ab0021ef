"""An open-loop load generator: schedules, traces, clients' ways, and the truth about its own lateness."""
