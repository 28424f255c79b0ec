"""Events of all processes in one causal order, and their checks."""
