"""The load balancing policy: its decisions, events, actions and settings. No I/O."""
