"""A search for duplicated effects: sidecars on loopback under drawn faults, judged by the protocol's rule."""
