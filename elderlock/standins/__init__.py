"""Fakes of the services around a limiter: each speaks the real protocol on loopback and supports fault injection."""
