"""The supervision of limiter processes by their agent."""
