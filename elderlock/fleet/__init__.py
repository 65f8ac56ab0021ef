"""Management of many limiters as one group: drains, plans, supervision, the agent and its API."""
