"""Process tests: what callers and operators see, under failures."""
