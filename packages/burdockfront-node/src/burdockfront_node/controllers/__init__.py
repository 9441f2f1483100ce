"""Controllers keep the state that nodes share, each in tasks of its own."""
