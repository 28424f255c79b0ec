"""Retries, at most once, streams and quarantine."""
