"""Data structures used by the decisions.

They make no decisions. The cost of an operation depends on the size of the change, not on the size of the structure.
"""
