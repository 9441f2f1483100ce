"""Tests: unit and property tests here, process tests in features/."""
