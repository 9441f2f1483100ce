"""Stand-ins of the platform, of backend servers, and of a bad network."""
