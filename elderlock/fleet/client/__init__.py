"""The operators' side: sends requests to the agents of a group and executes commands on the group."""
