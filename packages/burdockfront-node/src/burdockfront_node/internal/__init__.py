"""Modules that are not part of the public interface."""
