"""Controllers: background tasks that maintain the state nodes share."""
