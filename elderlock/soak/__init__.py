"""A soak of real limiters whose clients pipeline, write and leave, under shutdowns, hold-ups and idle closes."""
