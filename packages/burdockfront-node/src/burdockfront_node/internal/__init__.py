"""Helpers that are not part of the public surface."""
