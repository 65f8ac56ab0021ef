"""Test harness that runs a group of real processes, injects faults between them and checks the recorded history."""
