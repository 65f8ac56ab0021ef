"""The launcher, which starts an agent and falls back to the agent's previous version."""
