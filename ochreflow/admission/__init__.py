"""Which clients' connections are admitted, and which are evicted without capacity: decisions without I/O."""
