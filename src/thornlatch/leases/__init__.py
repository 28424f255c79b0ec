"""One owner per key, derived from the log; epochs for fencing."""
