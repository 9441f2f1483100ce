"""Steps of the process tests."""
