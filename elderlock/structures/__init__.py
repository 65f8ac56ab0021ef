"""Data structures used by the decisions.

They decide nothing, and an operation costs by what it changes rather than by how much the structure holds.
"""
