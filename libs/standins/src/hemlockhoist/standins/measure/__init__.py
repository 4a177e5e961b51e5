"""Benchmarks of the scheduling policy against simpler policies, on a virtual clock."""
