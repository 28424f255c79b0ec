"""Clients of the platform's log service, weight store and host list."""
