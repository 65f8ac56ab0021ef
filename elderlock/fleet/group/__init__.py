"""Membership of the other agents of a group, and the links to them."""
