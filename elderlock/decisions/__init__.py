"""All decisions of one limiter, without I/O: `limiter` passes each event to the module that it concerns.

`context` holds what the modules share: the settings, the event's time and actions, the random number generator.
Times are in milliseconds, rates per second.
"""
