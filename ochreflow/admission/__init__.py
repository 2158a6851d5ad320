"""Which clients' connections are let in, and which goes when there is no room: decisions without I/O."""
