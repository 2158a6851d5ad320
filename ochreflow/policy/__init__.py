"""The decisions, the events and actions they speak in, and the settings they go by. No I/O."""
