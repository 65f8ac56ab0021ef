"""What an agent knows of the other agents, and its links to them."""
