"""The I/O layer of a limiter process: its sockets, clocks and files. The decisions are in `elderlock.decisions`."""
