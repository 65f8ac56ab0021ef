"""Plans, which are releases and drains in several steps, as an agent leads and executes them."""
