"""The operator's side: asks the agents of a group and carries out commands over it."""
