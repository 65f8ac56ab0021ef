"""The launcher that starts an agent and falls back to its version before."""
