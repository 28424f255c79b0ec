"""Queues, fairness, choice of target and grants."""
