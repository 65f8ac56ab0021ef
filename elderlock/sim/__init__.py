"""Simulates a whole group: the shipped code, models of its surroundings, invariant checkers, search and experiments."""
