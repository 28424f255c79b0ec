"""Stand-ins for the external systems, used by the tests and the quick start."""
