"""A fault-injecting proxy for streams and datagrams; the same seed and traffic give the same faults."""
