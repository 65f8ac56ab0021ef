"""The I/O layer of a limiter: everything around the decisions that uses sockets, clocks and files."""
