"""An open-loop load generator: schedules, traces, client behaviour, and a check of the generator's own lateness."""
