"""The decisions of one limiter, without I/O. `limiter` dispatches each event to the module that handles it.

`context` holds the state that the modules share: the settings, the time and the actions of the current event, and the
random number generator. Times are in milliseconds and rates per second.
"""
