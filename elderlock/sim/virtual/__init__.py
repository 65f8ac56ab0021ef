"""The simulated system under the shells: an event loop, a network, processes, files and clocks."""
