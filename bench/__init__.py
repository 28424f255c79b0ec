"""Benchmarks; ``make bench`` runs them all and writes build/bench.jsonl."""
