"""Models of the servers, network, counter and machines around the group. They do no I/O and have no clock."""
