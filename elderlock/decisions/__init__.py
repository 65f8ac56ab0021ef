"""All decisions about requests, without I/O.

`limiter.Limiter` turns events into actions and dispatches them to one module for each concern. What these share is in
`context`: the settings, the time and the actions of the event being handled, and the one generator of random numbers.
Times are in milliseconds, rates per second.
"""
