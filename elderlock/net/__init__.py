"""The limiter on real sockets: everything round the decision module that does I/O."""
