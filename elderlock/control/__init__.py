"""A limiter's control socket: its status, the commands that it accepts, and the messages between agent and limiter."""
